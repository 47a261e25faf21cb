package org.buckthornferry.fleet;

import java.io.IOException;
import java.util.List;
import org.buckthornferry.store.ChangeBatch;
import org.buckthornferry.store.StoreItem;
import org.buckthornferry.store.StorePosition;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** Request and reply by which an instance polls another one for changes in the store. */
final class ChangeMessages {
  /**
   * Requests the changes after a position.
   *
   * @param position position of the sender's copy
   * @param maxWaitMillis how long the reply may wait for a change
   */
  record Request(StorePosition position, long maxWaitMillis) {}

  /**
   * Changes after the requested position.
   *
   * @param isComplete whether {@code changes} holds every change after the requested position
   * @param ageMillis time since the sender's copy was last known to be current
   */
  record Reply(boolean isComplete, long ageMillis, ChangeBatch changes) {}

  private ChangeMessages() {}

  static byte[] encodeRequest(Request request) {
    return MessageCodec.pack(
        packer -> {
          MessageCodec.writePosition(packer, request.position);
          packer.packLong(request.maxWaitMillis);
        });
  }

  static Request decodeRequest(byte[] message) throws IOException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(message)) {
      return new Request(MessageCodec.readPosition(unpacker), unpacker.unpackLong());
    }
  }

  static byte[] encodeReply(Reply reply) {
    return MessageCodec.pack(
        packer -> {
          packer.packBoolean(reply.isComplete).packLong(reply.ageMillis);
          MessageCodec.writePosition(packer, reply.changes.position());
          MessageCodec.writeItems(packer, reply.changes.changes());
        });
  }

  static Reply decodeReply(byte[] message) throws IOException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(message)) {
      boolean isComplete = unpacker.unpackBoolean();
      long ageMillis = unpacker.unpackLong();
      StorePosition position = MessageCodec.readPosition(unpacker);
      List<StoreItem> items = MessageCodec.readItems(unpacker, message.length, position.era());
      return new Reply(isComplete, ageMillis, new ChangeBatch(items, position));
    }
  }
}
