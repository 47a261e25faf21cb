package org.buckthornferry.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Encodes and decodes identifiers, lists of them and enum constants with size limits. */
final class IdentifierCodec {
  /** The maximum length of an identifier, in characters. */
  static final int MAX_ID_CHARS = 256;

  /** The largest number of identifiers in one list; a region has tens of instances. */
  static final int MAX_IDS = 1_024;

  private IdentifierCodec() {}

  static String unpackId(MessageUnpacker unpacker) throws IOException {
    // A char takes up to three bytes in UTF-8.
    int lengthBytes = unpacker.unpackRawStringHeader();
    if (lengthBytes > 3 * MAX_ID_CHARS) {
      throw new PeerProtocolException("identifier of " + lengthBytes + " bytes is too long");
    }
    String id =
        new String(unpacker.readPayload(lengthBytes), java.nio.charset.StandardCharsets.UTF_8);
    if (id.length() > MAX_ID_CHARS) {
      throw new PeerProtocolException("identifier of " + id.length() + " characters is too long");
    }
    return id;
  }

  static List<String> unpackIds(MessageUnpacker unpacker) throws IOException {
    int count = unpacker.unpackArrayHeader();
    if (count > MAX_IDS) {
      throw new PeerProtocolException("list of " + count + " identifiers is too long");
    }
    List<String> ids = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      ids.add(unpackId(unpacker));
    }
    return ids;
  }

  static void packIds(MessagePacker packer, List<String> ids) throws IOException {
    packer.packArrayHeader(ids.size());
    for (String id : ids) {
      packer.packString(id);
    }
  }

  /** Decodes an enum constant by name; fails for an unknown name. */
  static <E extends Enum<E>> E unpackEnum(MessageUnpacker unpacker, Class<E> type)
      throws IOException {
    return Enum.valueOf(type, unpackId(unpacker));
  }
}
