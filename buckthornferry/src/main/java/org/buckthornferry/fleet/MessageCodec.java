package org.buckthornferry.fleet;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.buckthornferry.store.StoreItem;
import org.buckthornferry.store.StorePosition;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** MessagePack helpers for the messages between instances. */
public final class MessageCodec {
  /** Longest accepted key or name, in bytes. */
  private static final int MAX_TEXT_BYTES = 1_024;

  /** Writes the fields of one message. */
  @FunctionalInterface
  public interface FieldWriter {
    /** Writes the fields; fails only if the buffer does. */
    void write(MessageBufferPacker packer) throws IOException;
  }

  private MessageCodec() {}

  /** Returns a message with the fields that {@code fieldWriter} writes. */
  public static byte[] pack(FieldWriter fieldWriter) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      fieldWriter.write(packer);
      return packer.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException("writing to an in-memory buffer failed", e);
    }
  }

  /** Reads a key or name; the size claimed by the sender is checked before memory is allocated. */
  public static String readText(MessageUnpacker unpacker) throws IOException {
    int bytes = unpacker.unpackRawStringHeader();
    if (bytes > MAX_TEXT_BYTES) {
      throw new IOException("text of " + bytes + " bytes exceeds " + MAX_TEXT_BYTES);
    }
    return new String(unpacker.readPayload(bytes), StandardCharsets.UTF_8);
  }

  /** Writes store items; the value of a removal is nil. */
  static void writeItems(MessageBufferPacker packer, Collection<StoreItem> items)
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

  static void writePosition(MessageBufferPacker packer, StorePosition position) throws IOException {
    packer.packLong(position.era()).packLong(position.revision());
  }

  static StorePosition readPosition(MessageUnpacker unpacker) throws IOException {
    return new StorePosition(unpacker.unpackLong(), unpacker.unpackLong());
  }

  /** Writes items that are kept from before the store was restored. */
  static void writeKeptItems(MessageBufferPacker packer, Collection<StoreItem> items)
      throws IOException {
    writeItems(packer, items);
    for (StoreItem item : items) {
      writePosition(packer, item.since());
    }
  }

  /** Reads items that the sender keeps from before the store was restored. */
  static List<StoreItem> readKeptItems(MessageUnpacker unpacker, int messageBytes)
      throws IOException {
    List<StoreItem> items = readItems(unpacker, messageBytes, 0);
    for (int i = 0; i < items.size(); i++) {
      StoreItem item = items.get(i);
      StorePosition since = readPosition(unpacker);
      items.set(i, new StoreItem(item.key(), item.value(), since, item.revision(), false));
    }
    return items;
  }

  /**
   * Reads store items.
   *
   * @param messageBytes size of the whole message, an upper limit on each value
   * @param era the era in which the store has the items
   */
  static List<StoreItem> readItems(MessageUnpacker unpacker, int messageBytes, long era)
      throws IOException {
    int size = unpacker.unpackArrayHeader();
    List<StoreItem> items = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      String key = readText(unpacker);
      StorePosition position = new StorePosition(era, unpacker.unpackLong());
      if (unpacker.tryUnpackNil()) {
        items.add(StoreItem.removal(key, position));
        continue;
      }
      int bytes = unpacker.unpackBinaryHeader();
      if (bytes > messageBytes) {
        throw new IOException(
            "value of " + bytes + " bytes exceeds the message of " + messageBytes + " bytes");
      }
      items.add(StoreItem.stored(key, unpacker.readPayload(bytes), position));
    }
    return items;
  }
}
