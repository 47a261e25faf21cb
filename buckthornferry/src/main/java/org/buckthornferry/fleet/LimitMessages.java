package org.buckthornferry.fleet;

import java.io.IOException;
import org.buckthornferry.dispatch.HoldReason;
import org.buckthornferry.dispatch.Priority;
import org.buckthornferry.dispatch.RateLimitNotice;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/** Calls between an instance and the coordinator of an endpoint's rate limit. */
final class LimitMessages {
  /** What the sender wants. */
  enum Purpose {
    /** Asks the coordinator for a permit. */
    TAKE,
    /** Tells the coordinator that the sender knows the limit. */
    PRESENT,
    /** Tells another instance of a change. */
    ANNOUNCE,
    /** Tells the coordinator that a request has ended. */
    ENDED,
    /** Tells the coordinator that the endpoint has rejected a request. */
    REJECTED
  }

  /** A statement of the endpoint, with the time since an instance received it. */
  record AgedNotice(RateLimitNotice notice, long ageMillis) {}

  /**
   * A call.
   *
   * @param instances the number of instances that the sender knows
   * @param priority the priority of the request that needs a permit
   * @param running the requests of the sender that run at the endpoint
   */
  record Request(
      Purpose purpose,
      String processKey,
      String senderId,
      int instances,
      AgedNotice known,
      Priority priority,
      int running) {}

  /**
   * A reply.
   *
   * @param waitMillis 0 if a permit was granted, else when to ask again
   * @param sharePerSecond the sender's even share of the granted rate
   */
  record Reply(long waitMillis, HoldReason reason, double sharePerSecond, AgedNotice known) {}

  private LimitMessages() {}

  static byte[] encodeRequest(Request request) {
    return MessageCodec.pack(
        packer -> {
          packer
              .packString(request.purpose.name())
              .packString(request.processKey)
              .packString(request.senderId)
              .packInt(request.instances)
              .packInt(request.priority.customerPriority())
              .packInt(request.priority.routePriority())
              .packInt(request.running);
          write(packer, request.known);
        });
  }

  static Request decodeRequest(byte[] message) throws IOException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(message)) {
      Purpose purpose = readConstant(Purpose.class, unpacker);
      String processKey = MessageCodec.readText(unpacker);
      String senderId = MessageCodec.readText(unpacker);
      int instances = unpacker.unpackInt();
      Priority priority = new Priority(unpacker.unpackInt(), unpacker.unpackInt());
      int running = unpacker.unpackInt();
      return new Request(
          purpose, processKey, senderId, instances, readNotice(unpacker), priority, running);
    } catch (MessagePackException e) {
      throw new IOException("malformed request", e);
    }
  }

  static byte[] encodeReply(Reply reply) {
    return MessageCodec.pack(
        packer -> {
          packer
              .packLong(reply.waitMillis)
              .packString(reply.reason.name())
              .packDouble(reply.sharePerSecond);
          write(packer, reply.known);
        });
  }

  static Reply decodeReply(byte[] message) throws IOException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(message)) {
      return new Reply(
          unpacker.unpackLong(),
          readConstant(HoldReason.class, unpacker),
          unpacker.unpackDouble(),
          readNotice(unpacker));
    } catch (MessagePackException e) {
      throw new IOException("malformed reply", e);
    }
  }

  private static void write(MessageBufferPacker packer, AgedNotice known) throws IOException {
    packer
        .packString(known.notice.kind().name())
        .packDouble(known.notice.perSecond())
        .packDouble(known.notice.maxRejectionsPerSecond())
        .packLong(known.ageMillis);
  }

  private static AgedNotice readNotice(MessageUnpacker unpacker) throws IOException {
    RateLimitNotice.Kind kind = readConstant(RateLimitNotice.Kind.class, unpacker);
    double perSecond = unpacker.unpackDouble();
    double maxRejectionsPerSecond = unpacker.unpackDouble();
    if (!(perSecond >= 0 && maxRejectionsPerSecond >= 0)) {
      throw new IOException("invalid limits " + perSecond + ", " + maxRejectionsPerSecond);
    }
    return new AgedNotice(
        new RateLimitNotice(kind, perSecond, maxRejectionsPerSecond),
        Math.max(0, unpacker.unpackLong()));
  }

  private static <E extends Enum<E>> E readConstant(Class<E> type, MessageUnpacker unpacker)
      throws IOException {
    String name = MessageCodec.readText(unpacker);
    try {
      return Enum.valueOf(type, name);
    } catch (IllegalArgumentException e) {
      throw new IOException("unknown " + type.getSimpleName() + " " + name, e);
    }
  }
}
