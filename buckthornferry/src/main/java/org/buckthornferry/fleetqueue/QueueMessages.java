package org.buckthornferry.fleetqueue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.buckthornferry.dispatch.AttemptOutcome;
import org.buckthornferry.dispatch.Priority;
import org.buckthornferry.dispatch.PromptPrefix;
import org.buckthornferry.dispatch.RequestSize;
import org.buckthornferry.error.ErrorKind;
import org.buckthornferry.fleet.MessageCodec;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/** Calls between the instances and the coordinator of a service's queue. */
final class QueueMessages {
  /** The maximum number of elements of each list in a message. */
  static final int MAX_ELEMENTS = 8_192;

  /** The maximum number of excluded endpoints of a ticket that are sent. */
  private static final int MAX_EXCLUDED = 64;

  /** The longest detail of a decision that is sent, in characters; the codec's limit is larger. */
  private static final int MAX_DETAIL_CHARS = 200;

  /**
   * The longest id of a part of a prompt that is sent, in characters. Callers choose the ids; one
   * beyond the codec's limit would make the coordinator reject the whole message.
   */
  private static final int MAX_PREFIX_ID_CHARS = 64;

  private static final int VERSION = 1;

  /**
   * The longest time in a ticket, in milliseconds. Longer times mean that there is no limit, and
   * would overflow a clock in nanoseconds.
   */
  private static final long MAX_MILLIS = 86_400_000;

  private static final int IS_LONG = 1;
  private static final int HAS_BEEN_SENT = 2;
  private static final int IS_CONTINUATION = 4;
  private static final int IS_CALLER_RETRY = 8;
  private static final int ALL_FLAGS = 15;

  /**
   * A QUEUE call.
   *
   * @param senderIncarnation identifies the process of the sender
   * @param isComplete whether the tickets are all that the sender has, as on the first call to a
   *     coordinator; others are forgotten
   * @param running the number of running requests by endpoint, if the call states it
   */
  record Request(
      String senderId,
      long senderIncarnation,
      String service,
      boolean isComplete,
      List<Ticket> tickets,
      List<Long> withdrawn,
      List<EndedRun> ended,
      Optional<Map<String, Integer>> running) {}

  /**
   * The reply to a QUEUE call.
   *
   * @param incarnation identifies the process of the coordinator
   * @param held the number of the caller's tickets that wait at the coordinator, or whose decisions
   *     the caller may not have received yet; those in this reply are not among them
   */
  record Reply(long incarnation, List<Decision> decisions, int held) {}

  /** A QUEUE_DECISIONS call. */
  record Push(String coordinatorId, long incarnation, String service, List<Decision> decisions) {}

  @FunctionalInterface
  private interface ElementWriter<T> {
    void write(MessageBufferPacker packer, T element) throws IOException;
  }

  @FunctionalInterface
  private interface FieldReader<T> {
    T read(MessageUnpacker unpacker) throws IOException;
  }

  private QueueMessages() {}

  static byte[] encodeRequest(Request request) {
    return MessageCodec.pack(
        packer -> {
          packer
              .packInt(VERSION)
              .packString(request.senderId)
              .packLong(request.senderIncarnation)
              .packString(request.service)
              .packBoolean(request.isComplete);
          writeList(packer, request.tickets, QueueMessages::writeTicket);
          writeList(packer, request.withdrawn, MessageBufferPacker::packLong);
          writeList(packer, request.ended, QueueMessages::writeEnded);
          if (request.running.isEmpty()) {
            packer.packNil();
          } else {
            writeRunning(packer, request.running.get());
          }
        });
  }

  static Request decodeRequest(byte[] message) throws IOException {
    return decode(
        message,
        unpacker ->
            new Request(
                MessageCodec.readText(unpacker),
                unpacker.unpackLong(),
                MessageCodec.readText(unpacker),
                unpacker.unpackBoolean(),
                readList(unpacker, QueueMessages::readTicket),
                readList(unpacker, MessageUnpacker::unpackLong),
                readList(unpacker, QueueMessages::readEnded),
                unpacker.tryUnpackNil() ? Optional.empty() : Optional.of(readRunning(unpacker))));
  }

  static byte[] encodeReply(Reply reply) {
    return MessageCodec.pack(
        packer -> {
          packer.packInt(VERSION).packLong(reply.incarnation);
          writeList(packer, reply.decisions, QueueMessages::writeDecision);
          packer.packInt(reply.held);
        });
  }

  static Reply decodeReply(byte[] message) throws IOException {
    return decode(
        message,
        unpacker ->
            new Reply(
                unpacker.unpackLong(),
                readList(unpacker, QueueMessages::readDecision),
                unpacker.unpackInt()));
  }

  static byte[] encodePush(Push push) {
    return MessageCodec.pack(
        packer -> {
          packer
              .packInt(VERSION)
              .packString(push.coordinatorId)
              .packLong(push.incarnation)
              .packString(push.service);
          writeList(packer, push.decisions, QueueMessages::writeDecision);
        });
  }

  static Push decodePush(byte[] message) throws IOException {
    return decode(
        message,
        unpacker ->
            new Push(
                MessageCodec.readText(unpacker),
                unpacker.unpackLong(),
                MessageCodec.readText(unpacker),
                readList(unpacker, QueueMessages::readDecision)));
  }

  private static <T> T decode(byte[] message, FieldReader<T> reader) throws IOException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(message)) {
      int version = unpacker.unpackInt();
      if (version != VERSION) {
        throw new IOException("unknown version " + version);
      }
      return reader.read(unpacker);
    } catch (MessagePackException e) {
      throw new IOException("malformed queue message", e);
    }
  }

  private static void writeTicket(MessageBufferPacker packer, Ticket ticket) throws IOException {
    int flags =
        (ticket.isLong() ? IS_LONG : 0)
            | (ticket.hasBeenSent() ? HAS_BEEN_SENT : 0)
            | (ticket.isContinuation() ? IS_CONTINUATION : 0)
            | (ticket.isCallerRetry() ? IS_CALLER_RETRY : 0);
    PromptPrefix prefix = sendable(ticket.promptPrefix());
    packer
        .packLong(ticket.number())
        .packString(ticket.routeName())
        .packInt(ticket.priority().customerPriority())
        .packInt(ticket.priority().routePriority())
        .packInt(flags)
        .packLong(Math.max(0, ticket.size().promptTokens()))
        .packLong(Math.max(0, ticket.size().memoryTokens()))
        .packLong(Math.max(0, ticket.size().expectedOutputTokens()))
        .packLong(prefix.tokens());
    if (prefix.tokens() > 0) {
      packer.packString(prefix.rootId()).packString(prefix.branchId());
    }
    packer
        .packLong(ticket.goalMillis())
        .packLong(ticket.patienceMillis())
        .packLong(ticket.deadlineMillis())
        .packLong(ticket.gapGoalMillis())
        .packLong(ticket.waitedMillis());
    List<String> excluded = ticket.excludedEndpointIds().stream().limit(MAX_EXCLUDED).toList();
    writeList(packer, excluded, MessageBufferPacker::packString);
  }

  private static PromptPrefix sendable(PromptPrefix prefix) {
    boolean isSendable =
        prefix.tokens() > 0
            && prefix.rootId().length() <= MAX_PREFIX_ID_CHARS
            && prefix.branchId().length() <= MAX_PREFIX_ID_CHARS;
    return isSendable ? prefix : PromptPrefix.NONE;
  }

  private static Ticket readTicket(MessageUnpacker unpacker) throws IOException {
    long number = unpacker.unpackLong();
    String routeName = MessageCodec.readText(unpacker);
    Priority priority = new Priority(unpacker.unpackInt(), unpacker.unpackInt());
    int flags = unpacker.unpackInt();
    if ((flags & ~ALL_FLAGS) != 0) {
      throw new IOException("unknown flags " + flags);
    }
    RequestSize size =
        new RequestSize(readCount(unpacker), readCount(unpacker), readCount(unpacker));
    long prefixTokens = readCount(unpacker);
    PromptPrefix prefix =
        prefixTokens == 0
            ? PromptPrefix.NONE
            : new PromptPrefix(
                MessageCodec.readText(unpacker), MessageCodec.readText(unpacker), prefixTokens);
    return new Ticket(
        number,
        routeName,
        priority,
        (flags & IS_LONG) != 0,
        size,
        prefix,
        readMillis(unpacker),
        readMillis(unpacker),
        readMillis(unpacker),
        readMillis(unpacker),
        readMillis(unpacker),
        (flags & HAS_BEEN_SENT) != 0,
        (flags & IS_CONTINUATION) != 0,
        (flags & IS_CALLER_RETRY) != 0,
        readExcluded(unpacker));
  }

  private static Set<String> readExcluded(MessageUnpacker unpacker) throws IOException {
    return new HashSet<>(readList(unpacker, MessageCodec::readText));
  }

  private static void writeEnded(MessageBufferPacker packer, EndedRun run) throws IOException {
    packer
        .packString(run.endpointId())
        .packLong(run.ticketNumber())
        .packString(run.outcome().name());
    EndedRun.Timing timing = run.timing().orElse(null);
    boolean isSendable =
        timing != null
            && isDuration(timing.firstEventMillis())
            && isDuration(timing.streamMillis())
            && isDuration(timing.longestGapMillis());
    if (!isSendable) {
      packer.packNil();
      return;
    }
    packer
        .packFloat((float) timing.firstEventMillis())
        .packInt(Math.max(0, timing.events()))
        .packFloat((float) timing.streamMillis())
        .packFloat((float) timing.longestGapMillis());
  }

  private static EndedRun readEnded(MessageUnpacker unpacker) throws IOException {
    String endpointId = MessageCodec.readText(unpacker);
    long ticketNumber = unpacker.unpackLong();
    AttemptOutcome outcome = readConstant(AttemptOutcome.class, unpacker);
    if (unpacker.tryUnpackNil()) {
      return new EndedRun(endpointId, ticketNumber, outcome, Optional.empty());
    }
    double firstEventMillis = readDuration(unpacker);
    int events = Math.toIntExact(Math.min(Integer.MAX_VALUE, readCount(unpacker)));
    return new EndedRun(
        endpointId,
        ticketNumber,
        outcome,
        Optional.of(
            new EndedRun.Timing(
                firstEventMillis, events, readDuration(unpacker), readDuration(unpacker))));
  }

  private static void writeDecision(MessageBufferPacker packer, Decision decision)
      throws IOException {
    packer.packLong(decision.ticketNumber()).packString(decision.endpointId());
    if (!decision.isGranted()) {
      String detail = decision.detail();
      packer
          .packString(decision.reason().name())
          .packString(detail.substring(0, Math.min(detail.length(), MAX_DETAIL_CHARS)))
          .packLong(decision.retryAfterMillis());
    }
  }

  private static Decision readDecision(MessageUnpacker unpacker) throws IOException {
    long ticketNumber = unpacker.unpackLong();
    String endpointId = MessageCodec.readText(unpacker);
    return endpointId.isEmpty()
        ? Decision.refusal(
            ticketNumber,
            readConstant(ErrorKind.class, unpacker),
            MessageCodec.readText(unpacker),
            Math.max(0, readMillis(unpacker)))
        : Decision.grant(ticketNumber, endpointId);
  }

  private static void writeRunning(MessageBufferPacker packer, Map<String, Integer> running)
      throws IOException {
    packer.packMapHeader(running.size());
    for (Map.Entry<String, Integer> entry : running.entrySet()) {
      packer.packString(entry.getKey()).packInt(entry.getValue());
    }
  }

  private static Map<String, Integer> readRunning(MessageUnpacker unpacker) throws IOException {
    int size = checkedSize(unpacker.unpackMapHeader());
    Map<String, Integer> running = new HashMap<>();
    for (int i = 0; i < size; i++) {
      running.put(MessageCodec.readText(unpacker), Math.max(0, unpacker.unpackInt()));
    }
    return running;
  }

  private static <T> void writeList(
      MessageBufferPacker packer, List<T> elements, ElementWriter<T> writer) throws IOException {
    packer.packArrayHeader(elements.size());
    for (T element : elements) {
      writer.write(packer, element);
    }
  }

  /** Reads a list; memory is allocated only for the elements that the message really has. */
  private static <T> List<T> readList(MessageUnpacker unpacker, FieldReader<T> reader)
      throws IOException {
    int size = checkedSize(unpacker.unpackArrayHeader());
    List<T> elements = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      elements.add(reader.read(unpacker));
    }
    return elements;
  }

  private static int checkedSize(int size) throws IOException {
    if (size > MAX_ELEMENTS) {
      throw new IOException(size + " elements exceed " + MAX_ELEMENTS);
    }
    return size;
  }

  private static long readCount(MessageUnpacker unpacker) throws IOException {
    long count = unpacker.unpackLong();
    if (count < 0) {
      throw new IOException("negative count " + count);
    }
    return count;
  }

  private static long readMillis(MessageUnpacker unpacker) throws IOException {
    return Math.max(-MAX_MILLIS, Math.min(MAX_MILLIS, unpacker.unpackLong()));
  }

  private static double readDuration(MessageUnpacker unpacker) throws IOException {
    double millis = unpacker.unpackFloat();
    if (!isDuration(millis)) {
      throw new IOException("invalid duration " + millis);
    }
    return millis;
  }

  private static boolean isDuration(double millis) {
    return millis >= 0 && millis <= MAX_MILLIS;
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
