package org.buckthornferry.peer;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes and decodes fields with size limits. Sizes in a frame are untrusted, so they are checked
 * before memory is allocated.
 */
final class FieldCodec {
  /** The largest identifier, address or region name, in bytes of UTF-8. */
  static final int MAX_NAME_BYTES = 256;

  /** The largest counter on the wire; far below overflow, so that it can be incremented safely. */
  static final long MAX_COUNTER = 1L << 52;

  @FunctionalInterface
  interface ElementReader<T> {
    T read(MessageUnpacker unpacker) throws IOException;
  }

  @FunctionalInterface
  interface ElementWriter<T> {
    void write(T element, MessagePacker packer) throws IOException;
  }

  private FieldCodec() {}

  static String unpackName(MessageUnpacker unpacker) throws IOException {
    int length = unpacker.unpackRawStringHeader();
    checkSize(length, MAX_NAME_BYTES, "name");
    return new String(unpacker.readPayload(length), StandardCharsets.UTF_8);
  }

  static byte[] unpackBytes(MessageUnpacker unpacker, int maxBytes) throws IOException {
    int length = unpacker.unpackBinaryHeader();
    checkSize(length, maxBytes, "byte field");
    return unpacker.readPayload(length);
  }

  static long unpackCounter(MessageUnpacker unpacker) throws IOException {
    long value = unpacker.unpackLong();
    if (value < 0 || value > MAX_COUNTER) {
      throw new PeerProtocolException("counter " + value + " is not in 0.." + MAX_COUNTER);
    }
    return value;
  }

  static int unpackCount(MessageUnpacker unpacker, int max) throws IOException {
    int value = unpacker.unpackInt();
    if (value < 0 || value > max) {
      throw new PeerProtocolException("number " + value + " is not in 0.." + max);
    }
    return value;
  }

  static <T> List<T> unpackList(MessageUnpacker unpacker, int maxElements, ElementReader<T> reader)
      throws IOException {
    int size = unpacker.unpackArrayHeader();
    checkSize(size, maxElements, "list");
    List<T> list = new ArrayList<>(size);
    for (int i = 0; i < size; i++) {
      list.add(reader.read(unpacker));
    }
    return list;
  }

  static <T> void packList(MessagePacker packer, List<T> list, ElementWriter<T> writer)
      throws IOException {
    packer.packArrayHeader(list.size());
    for (T element : list) {
      writer.write(element, packer);
    }
  }

  private static void checkSize(int size, int max, String what) {
    if (size < 0 || size > max) {
      throw new PeerProtocolException(what + " of size " + size + " is above " + max);
    }
  }
}
