package org.buckthornferry.fleet;

import java.io.IOException;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** Request and reply by which an instance draws on a customer's shared allowance. */
final class AllowanceMessages {
  /**
   * Requests part of an allowance from its owner.
   *
   * @param cost cost of the request in the customer's unit; negative for a refund
   * @param rank priority of the request; 0 is the highest
   * @param hasFreeSlots whether the request can run without displacing another one
   */
  record Request(String customerName, double cost, int rank, boolean hasFreeSlots) {}

  /** Reply of an instance that does not consider itself the owner or does not know the customer. */
  static final long NOT_OWNER = -1;

  private AllowanceMessages() {}

  static byte[] encodeRequest(Request request) {
    return MessageCodec.pack(
        packer ->
            packer
                .packString(request.customerName)
                .packDouble(request.cost)
                .packInt(request.rank)
                .packBoolean(request.hasFreeSlots));
  }

  static Request decodeRequest(byte[] message) throws IOException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(message)) {
      return new Request(
          MessageCodec.readText(unpacker),
          unpacker.unpackDouble(),
          unpacker.unpackInt(),
          unpacker.unpackBoolean());
    }
  }

  /** Encodes the time to wait in milliseconds, 0 if the cost was taken, or {@link #NOT_OWNER}. */
  static byte[] encodeReply(long waitMillis) {
    return MessageCodec.pack(packer -> packer.packLong(waitMillis));
  }

  static long decodeReply(byte[] message) throws IOException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(message)) {
      return unpacker.unpackLong();
    }
  }
}
