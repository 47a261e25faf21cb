package org.buckthornferry.fleet;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.buckthornferry.store.StoreItem;
import org.buckthornferry.store.StorePosition;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** Request and reply by which an instance fetches a copy of all store items from a peer. */
final class ViewMessages {
  /**
   * A copy of the store.
   *
   * @param isWhole whether {@code items} holds all items; otherwise it is empty, because the copy
   *     is not newer than the requester's
   * @param kept what the sender keeps from before the store was restored
   */
  record Snapshot(
      StorePosition position, boolean isWhole, List<StoreItem> items, List<StoreItem> kept) {
    Snapshot {
      items = List.copyOf(items);
      kept = List.copyOf(kept);
    }
  }

  private ViewMessages() {}

  /** Encodes the position of the sender's copy. */
  static byte[] encodeRequest(StorePosition position) {
    return MessageCodec.pack(packer -> MessageCodec.writePosition(packer, position));
  }

  static StorePosition decodeRequest(byte[] message) throws IOException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(message)) {
      return MessageCodec.readPosition(unpacker);
    }
  }

  /** Encodes a snapshot, or nil if it would tell the requester nothing. */
  static byte[] encodeReply(Optional<Snapshot> snapshot) {
    return MessageCodec.pack(
        packer -> {
          if (snapshot.isEmpty()) {
            packer.packNil();
            return;
          }
          MessageCodec.writePosition(packer, snapshot.get().position);
          packer.packBoolean(snapshot.get().isWhole);
          MessageCodec.writeItems(packer, snapshot.get().items);
          MessageCodec.writeKeptItems(packer, snapshot.get().kept);
        });
  }

  static Optional<Snapshot> decodeReply(byte[] message) throws IOException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(message)) {
      if (unpacker.tryUnpackNil()) {
        return Optional.empty();
      }
      StorePosition position = MessageCodec.readPosition(unpacker);
      boolean isWhole = unpacker.unpackBoolean();
      return Optional.of(
          new Snapshot(
              position,
              isWhole,
              MessageCodec.readItems(unpacker, message.length, position.era()),
              MessageCodec.readKeptItems(unpacker, message.length)));
    }
  }
}
