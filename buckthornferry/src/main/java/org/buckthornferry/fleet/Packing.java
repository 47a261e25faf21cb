package org.buckthornferry.fleet;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.buckthornferry.store.StoreItem;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** Writes and reads the fields of messages between instances. */
final class Packing {
  /** The longest key or name that is accepted, in bytes. */
  private static final int MAX_TEXT_BYTES = 1_024;

  /** Writes the fields of one message. */
  @FunctionalInterface
  interface Fields {
    void write(MessageBufferPacker packer) throws IOException;
  }

  private Packing() {}

  /** Returns a message with the given fields. */
  static byte[] pack(Fields fields) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      fields.write(packer);
      return packer.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException("a buffer in memory can always be written", e);
    }
  }

  /** Reads a key or a name. Its size comes from the sender and is checked before it is read. */
  static String text(MessageUnpacker unpacker) throws IOException {
    int bytes = unpacker.unpackRawStringHeader();
    if (bytes > MAX_TEXT_BYTES) {
      throw new IOException("text of " + bytes + " bytes");
    }
    return new String(unpacker.readPayload(bytes), StandardCharsets.UTF_8);
  }

  /** Writes items of the store; a removal has no value. */
  static void packItems(MessageBufferPacker packer, Collection<StoreItem> items)
      throws IOException {
    packer.packArrayHeader(items.size());
    for (StoreItem item : items) {
      packer.packString(item.key()).packLong(item.revision());
      if (item.isRemoval()) {
        packer.packNil();
      } else {
        packer.packBinaryHeader(item.value().length).writePayload(item.value());
      }
    }
  }

  /**
   * Reads items of the store.
   *
   * @param messageBytes the size of the whole message, which bounds that of each value
   */
  static List<StoreItem> items(MessageUnpacker unpacker, int messageBytes) throws IOException {
    int size = unpacker.unpackArrayHeader();
    List<StoreItem> items = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      String key = text(unpacker);
      long revision = unpacker.unpackLong();
      if (unpacker.tryUnpackNil()) {
        items.add(StoreItem.removal(key, revision));
        continue;
      }
      int bytes = unpacker.unpackBinaryHeader();
      if (bytes > messageBytes) {
        throw new IOException("value of " + bytes + " bytes in a smaller message");
      }
      items.add(new StoreItem(key, unpacker.readPayload(bytes), revision));
    }
    return items;
  }
}
