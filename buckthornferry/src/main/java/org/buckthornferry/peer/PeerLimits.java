package org.buckthornferry.peer;

import java.io.IOException;
import org.msgpack.core.MessageUnpacker;

/** Reads strings, byte arrays and collection sizes from a peer and refuses those above a bound. */
final class PeerLimits {
  private static final int MAX_CONSTANT_BYTES = 32;

  private PeerLimits() {}

  static String string(MessageUnpacker unpacker, int maxBytes) throws IOException {
    int sizeBytes = unpacker.unpackRawStringHeader();
    checkSize(sizeBytes, maxBytes, "string");
    return new String(unpacker.readPayload(sizeBytes), java.nio.charset.StandardCharsets.UTF_8);
  }

  static byte[] bytes(MessageUnpacker unpacker, int maxBytes) throws IOException {
    int sizeBytes = unpacker.unpackBinaryHeader();
    checkSize(sizeBytes, maxBytes, "byte array");
    return unpacker.readPayload(sizeBytes);
  }

  static int arraySize(MessageUnpacker unpacker, int maxElements) throws IOException {
    int size = unpacker.unpackArrayHeader();
    checkSize(size, maxElements, "array");
    return size;
  }

  static <E extends Enum<E>> E constant(MessageUnpacker unpacker, Class<E> type)
      throws IOException {
    return Enum.valueOf(type, string(unpacker, MAX_CONSTANT_BYTES));
  }

  private static void checkSize(int size, int max, String what) {
    if (size < 0 || size > max) {
      throw new PeerProtocolException(what + " of size " + size + " exceeds " + max);
    }
  }
}
