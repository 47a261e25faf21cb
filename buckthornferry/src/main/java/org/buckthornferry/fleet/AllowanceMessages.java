package org.buckthornferry.fleet;

import java.io.IOException;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** The two messages with which an instance uses a customer's common allowance. */
final class AllowanceMessages {
  /**
   * Asks for a part of an allowance.
   *
   * @param cost what the request takes in the customer's unit; negative to give that much back
   * @param rank the importance of the request; 0 is the most important
   * @param hasFreeSlots whether the request takes no slot from another one
   */
  record Ask(String customerName, double cost, int rank, boolean hasFreeSlots) {}

  /**
   * Replied by an instance that is not the owner in its own view, or does not know the customer.
   */
  static final long NOT_OWNER = -1;

  private AllowanceMessages() {}

  static byte[] encodeAsk(Ask ask) {
    return Packing.pack(
        packer ->
            packer
                .packString(ask.customerName)
                .packDouble(ask.cost)
                .packInt(ask.rank)
                .packBoolean(ask.hasFreeSlots));
  }

  static Ask decodeAsk(byte[] message) throws IOException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(message)) {
      return new Ask(
          Packing.text(unpacker),
          unpacker.unpackDouble(),
          unpacker.unpackInt(),
          unpacker.unpackBoolean());
    }
  }

  /** Encodes the time to wait in milliseconds, 0 when the cost was taken, or {@link #NOT_OWNER}. */
  static byte[] encodeReply(long waitMillis) {
    return Packing.pack(packer -> packer.packLong(waitMillis));
  }

  static long decodeReply(byte[] message) throws IOException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(message)) {
      return unpacker.unpackLong();
    }
  }
}
