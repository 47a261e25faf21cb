package org.buckthornferry.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Reads strings and lists of the admission and endpoint messages with bounds on their sizes. */
final class MessageLimits {
  /** The longest identifier in a message, in characters. */
  static final int MAX_ID_CHARS = 256;

  /** The most identifiers in one list. A region has tens of instances. */
  static final int MAX_IDS = 1_024;

  private MessageLimits() {}

  static String unpackId(MessageUnpacker unpacker) throws IOException {
    // One character takes up to three bytes in UTF-8.
    int lengthBytes = unpacker.unpackRawStringHeader();
    if (lengthBytes > 3 * MAX_ID_CHARS) {
      throw new PeerProtocolException("identifier of " + lengthBytes + " bytes");
    }
    String id =
        new String(unpacker.readPayload(lengthBytes), java.nio.charset.StandardCharsets.UTF_8);
    if (id.length() > MAX_ID_CHARS) {
      throw new PeerProtocolException("identifier of " + id.length() + " characters");
    }
    return id;
  }

  static List<String> unpackIds(MessageUnpacker unpacker) throws IOException {
    int count = unpacker.unpackArrayHeader();
    if (count > MAX_IDS) {
      throw new PeerProtocolException("list of " + count + " identifiers");
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

  /** Reads a constant by its name; an unknown name makes the message malformed. */
  static <E extends Enum<E>> E unpackEnum(MessageUnpacker unpacker, Class<E> type)
      throws IOException {
    return Enum.valueOf(type, unpackId(unpacker));
  }
}
