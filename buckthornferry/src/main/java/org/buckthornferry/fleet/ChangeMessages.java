package org.buckthornferry.fleet;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.buckthornferry.store.ChangeBatch;
import org.buckthornferry.store.StoreItem;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** Request and reply by which an instance polls another one for changes in the store. */
final class ChangeMessages {
  /**
   * Requests the changes after a revision.
   *
   * @param revision revision of the sender's copy
   * @param maxWaitMillis how long the reply may wait for a change
   */
  record Request(long revision, long maxWaitMillis) {}

  /**
   * Changes after the requested revision.
   *
   * @param isComplete whether {@code changes} holds every change after the requested revision
   * @param ageMillis time since the sender's copy was last known to be current
   */
  record Reply(boolean isComplete, long ageMillis, ChangeBatch changes) {}

  private ChangeMessages() {}

  static byte[] encodeRequest(Request request) {
    return MessageCodec.pack(
        packer -> packer.packLong(request.revision).packLong(request.maxWaitMillis));
  }

  static Request decodeRequest(byte[] message) throws IOException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(message)) {
      return new Request(unpacker.unpackLong(), unpacker.unpackLong());
    }
  }

  static byte[] encodeReply(Reply reply) {
    return MessageCodec.pack(
        packer -> {
          packer.packBoolean(reply.isComplete).packLong(reply.ageMillis);
          packer.packLong(reply.changes.revision());
          MessageCodec.writeItems(packer, reply.changes.changes());
        });
  }

  static Reply decodeReply(byte[] message) throws IOException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(message)) {
      boolean isComplete = unpacker.unpackBoolean();
      long ageMillis = unpacker.unpackLong();
      long revision = unpacker.unpackLong();
      List<StoreItem> items = new ArrayList<>(MessageCodec.readItems(unpacker, message.length));
      return new Reply(isComplete, ageMillis, new ChangeBatch(items, revision));
    }
  }
}
