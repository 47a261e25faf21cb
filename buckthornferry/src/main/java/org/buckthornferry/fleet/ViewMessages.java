package org.buckthornferry.fleet;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.buckthornferry.store.StoreItem;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** The two messages with which an instance gets a copy of the store's items from another one. */
final class ViewMessages {
  /** A copy of all items at a revision of the store. */
  record Copy(long revision, List<StoreItem> items) {
    Copy {
      items = List.copyOf(items);
    }
  }

  private ViewMessages() {}

  /** Encodes the revision that the sender has. */
  static byte[] encodeRequest(long revision) {
    return Packing.pack(packer -> packer.packLong(revision));
  }

  static long decodeRequest(byte[] message) throws IOException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(message)) {
      return unpacker.unpackLong();
    }
  }

  /** Encodes a copy, or that there is none that is newer than what the other instance has. */
  static byte[] encodeReply(Optional<Copy> copy) {
    return Packing.pack(
        packer -> {
          if (copy.isEmpty()) {
            packer.packNil();
            return;
          }
          packer.packLong(copy.get().revision);
          Packing.packItems(packer, copy.get().items);
        });
  }

  static Optional<Copy> decodeReply(byte[] message) throws IOException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(message)) {
      if (unpacker.tryUnpackNil()) {
        return Optional.empty();
      }
      long revision = unpacker.unpackLong();
      return Optional.of(new Copy(revision, Packing.items(unpacker, message.length)));
    }
  }
}
