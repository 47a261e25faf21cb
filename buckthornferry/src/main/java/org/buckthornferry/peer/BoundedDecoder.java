package org.buckthornferry.peer;

import java.io.IOException;
import org.msgpack.core.MessageUnpacker;

/** Decodes strings, byte arrays, array sizes and enum constants with size limits. */
final class BoundedDecoder {
  private static final int MAX_ENUM_NAME_BYTES = 32;

  private BoundedDecoder() {}

  static String unpackString(MessageUnpacker unpacker, int maxBytes) throws IOException {
    int sizeBytes = unpacker.unpackRawStringHeader();
    checkSize(sizeBytes, maxBytes, "string");
    return new String(unpacker.readPayload(sizeBytes), java.nio.charset.StandardCharsets.UTF_8);
  }

  static byte[] unpackBytes(MessageUnpacker unpacker, int maxBytes) throws IOException {
    int sizeBytes = unpacker.unpackBinaryHeader();
    checkSize(sizeBytes, maxBytes, "byte array");
    return unpacker.readPayload(sizeBytes);
  }

  static int unpackArraySize(MessageUnpacker unpacker, int maxElements) throws IOException {
    int size = unpacker.unpackArrayHeader();
    checkSize(size, maxElements, "array");
    return size;
  }

  static <E extends Enum<E>> E unpackEnum(MessageUnpacker unpacker, Class<E> type)
      throws IOException {
    return Enum.valueOf(type, unpackString(unpacker, MAX_ENUM_NAME_BYTES));
  }

  private static void checkSize(int size, int max, String what) {
    if (size < 0 || size > max) {
      throw new PeerProtocolException(what + " of size " + size + " exceeds " + max);
    }
  }
}
