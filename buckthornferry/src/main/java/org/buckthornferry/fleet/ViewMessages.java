package org.buckthornferry.fleet;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.buckthornferry.store.StoreItem;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** Request and reply by which an instance fetches a copy of all store items from a peer. */
final class ViewMessages {
  /** All store items at one revision. */
  record Snapshot(long revision, List<StoreItem> items) {
    Snapshot {
      items = List.copyOf(items);
    }
  }

  private ViewMessages() {}

  /** Encodes the revision of the sender's copy. */
  static byte[] encodeRequest(long revision) {
    return MessageCodec.pack(packer -> packer.packLong(revision));
  }

  static long decodeRequest(byte[] message) throws IOException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(message)) {
      return unpacker.unpackLong();
    }
  }

  /** Encodes a snapshot, or nil if there is none newer than the requested revision. */
  static byte[] encodeReply(Optional<Snapshot> snapshot) {
    return MessageCodec.pack(
        packer -> {
          if (snapshot.isEmpty()) {
            packer.packNil();
            return;
          }
          packer.packLong(snapshot.get().revision);
          MessageCodec.writeItems(packer, snapshot.get().items);
        });
  }

  static Optional<Snapshot> decodeReply(byte[] message) throws IOException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(message)) {
      if (unpacker.tryUnpackNil()) {
        return Optional.empty();
      }
      long revision = unpacker.unpackLong();
      return Optional.of(new Snapshot(revision, MessageCodec.readItems(unpacker, message.length)));
    }
  }
}
