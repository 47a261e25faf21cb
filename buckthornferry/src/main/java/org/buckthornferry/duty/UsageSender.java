package org.buckthornferry.duty;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.buckthornferry.control.Blackboard;
import org.buckthornferry.fleet.FleetView;
import org.buckthornferry.fleet.PeerCaller;
import org.buckthornferry.fleet.PeerMessageKind;
import org.buckthornferry.util.Completions;
import org.buckthornferry.util.MonotonicClock;
import org.jboss.logging.Logger;

/**
 * Passes the counts of this instance on and learns the true time from the replies. A message holds
 * the windows that have changed since the last reply; a receiver that is another process than
 * before gets all windows that are kept.
 */
final class UsageSender {
  private static final Logger LOG = Logger.getLogger(UsageSender.class);

  /** Timeout of a message, in milliseconds; shorter than the time between two messages. */
  private static final long TIMEOUT_MILLIS = 800;

  private final UsageCounter counter;
  private final Blackboard blackboard;
  private final PeerCaller peers;
  private final String selfId;
  private final long process;
  private final long windowMillis;
  private final long retentionMillis;
  private final MonotonicClock clock;
  private final LongSupplier wallClockMillis;
  private final TrueClock trueClock = new TrueClock();
  private final Map<Long, Map<String, Long>> acknowledged = new HashMap<>();
  private String receiverId = "";
  private long acknowledgedBy;
  private long sequence;
  private boolean isSending;

  /**
   * Creates a sender.
   *
   * @param process random number of this process
   * @param retentionMillis for how long the counter keeps runs
   * @param clock the clock of the counter
   */
  UsageSender(
      UsageCounter counter,
      Blackboard blackboard,
      PeerCaller peers,
      String selfId,
      long process,
      long windowMillis,
      long retentionMillis,
      MonotonicClock clock,
      LongSupplier wallClockMillis) {
    this.counter = counter;
    this.blackboard = blackboard;
    this.peers = peers;
    this.selfId = selfId;
    this.process = process;
    this.windowMillis = windowMillis;
    this.retentionMillis = retentionMillis;
    this.clock = clock;
    this.wallClockMillis = wallClockMillis;
  }

  /** Returns the true time at a time of the clock, in milliseconds since 1970, if it is known. */
  OptionalLong trueMillisAt(long nanos) {
    return trueClock.millisAt(nanos);
  }

  /** Sets the true time; for the instance that takes the median of the clocks itself. */
  void setTrueMillis(long nowNanos, long trueMillis) {
    trueClock.onReply(nowNanos, nowNanos, trueMillis);
  }

  /** Returns a message with all windows that are kept. */
  UsageMessage message() {
    return message(0, windows());
  }

  private UsageMessage message(long basis, Map<Long, Map<String, Long>> counts) {
    long nowNanos = clock.nanoTime();
    long keptSinceNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(retentionMillis);
    long sinceNanos =
        counter.completeSinceNanos() - keptSinceNanos > 0
            ? counter.completeSinceNanos()
            : keptSinceNanos;
    UsageMessage.Span span =
        trueClock.isKnown()
            ? new UsageMessage.Span(
                trueClock.millisAt(sinceNanos).getAsLong(),
                trueClock.millisAt(nowNanos).getAsLong())
            : UsageMessage.Span.NONE;
    return new UsageMessage(
        selfId, process, ++sequence, basis, wallClockMillis.getAsLong(), span, counts);
  }

  /** Returns the counts of the windows of which the counter has dropped nothing. */
  private Map<Long, Map<String, Long>> windows() {
    if (!trueClock.isKnown()) {
      return Map.of();
    }
    SortedMap<Long, Map<String, Long>> counts =
        counter.counts(nanos -> Math.floorDiv(trueClock.millisAt(nanos).getAsLong(), windowMillis));
    long keptSinceMillis = trueClock.millisAt(clock.nanoTime()).getAsLong() - retentionMillis;
    return counts.tailMap(Math.floorDiv(keptSinceMillis, windowMillis) + 1);
  }

  /** Sends the counts to an instance, unless a message is on its way. */
  void sendTo(String instanceId) {
    Optional<InetSocketAddress> address =
        Optional.ofNullable(blackboard.read(FleetView.ENTRY).addresses().get(instanceId));
    if (isSending || address.isEmpty()) {
      return;
    }
    isSending = true;
    if (!instanceId.equals(receiverId)) {
      receiverId = instanceId;
      acknowledged.clear();
      acknowledgedBy = 0;
    }
    UsageMessage message = message(acknowledgedBy, changed(windows()));
    long sentNanos = clock.nanoTime();
    Completions.onComplete(
        peers.call(address.get(), PeerMessageKind.USAGE, message.encode(), TIMEOUT_MILLIS),
        (reply, failure) -> {
          isSending = false;
          if (failure != null) {
            LOG.infof("usage.not_passed_on receiver=%s reason=\"%s\"", instanceId, failure);
            return;
          }
          onReply(message, sentNanos, reply);
        });
  }

  private Map<Long, Map<String, Long>> changed(Map<Long, Map<String, Long>> windows) {
    Map<Long, Map<String, Long>> changed = new TreeMap<>();
    windows.forEach(
        (window, counts) -> {
          if (!counts.equals(acknowledged.get(window))) {
            changed.put(window, counts);
          }
        });
    // The runs of a window may all have moved to another one when the true time became more exact.
    acknowledged.forEach(
        (window, counts) -> {
          boolean isKept = windows.isEmpty() || window >= windows.keySet().iterator().next();
          if (isKept && !windows.containsKey(window) && !counts.isEmpty()) {
            changed.put(window, Map.of());
          }
        });
    return changed;
  }

  private void onReply(UsageMessage message, long sentNanos, byte[] encoded) {
    try {
      UsageMessage.Reply reply = UsageMessage.Reply.decode(encoded);
      if (message.basis() != 0 && message.basis() != reply.process()) {
        // Another process, which needs all counts.
        acknowledged.clear();
        acknowledgedBy = 0;
      } else {
        acknowledged.putAll(message.counts());
        acknowledgedBy = reply.process();
      }
      long oldest =
          message.span().isKnown()
              ? Math.floorDiv(message.span().toMillis() - retentionMillis, windowMillis)
              : 0;
      acknowledged.keySet().removeIf(window -> window <= oldest);
      if (reply.trueMillis().isPresent()) {
        trueClock.onReply(sentNanos, clock.nanoTime(), reply.trueMillis().getAsLong());
      }
    } catch (IOException e) {
      LOG.warnf("usage.unreadable_reply reason=%s", e.getMessage());
    }
  }
}
