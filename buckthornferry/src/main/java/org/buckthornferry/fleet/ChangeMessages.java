package org.buckthornferry.fleet;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.buckthornferry.store.ChangeBatch;
import org.buckthornferry.store.StoreItem;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** The two messages with which an instance hears of changes from one that reads the store. */
final class ChangeMessages {
  /**
   * Asks for changes.
   *
   * @param revision that the sender has
   * @param holdMillis how long the reply may wait for a change
   */
  record Ask(long revision, long holdMillis) {}

  /**
   * Changes after the asked revision.
   *
   * @param isComplete whether no change is missing between the asked revision and {@code changes}
   * @param ageMillis how long ago the store held nothing newer
   */
  record Reply(boolean isComplete, long ageMillis, ChangeBatch changes) {}

  private ChangeMessages() {}

  static byte[] encodeAsk(Ask ask) {
    return Packing.pack(packer -> packer.packLong(ask.revision).packLong(ask.holdMillis));
  }

  static Ask decodeAsk(byte[] message) throws IOException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(message)) {
      return new Ask(unpacker.unpackLong(), unpacker.unpackLong());
    }
  }

  static byte[] encodeReply(Reply reply) {
    return Packing.pack(
        packer -> {
          packer.packBoolean(reply.isComplete).packLong(reply.ageMillis);
          packer.packLong(reply.changes.revision());
          Packing.packItems(packer, reply.changes.changes());
        });
  }

  static Reply decodeReply(byte[] message) throws IOException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(message)) {
      boolean isComplete = unpacker.unpackBoolean();
      long ageMillis = unpacker.unpackLong();
      long revision = unpacker.unpackLong();
      List<StoreItem> items = new ArrayList<>(Packing.items(unpacker, message.length));
      return new Reply(isComplete, ageMillis, new ChangeBatch(items, revision));
    }
  }
}
