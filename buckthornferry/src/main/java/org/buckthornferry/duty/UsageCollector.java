package org.buckthornferry.duty;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.buckthornferry.fleet.FleetView;

/**
 * Adds up what the instances have counted, and takes the median of their wall clocks as the true
 * time. Keeps messages whether or not this instance holds the usage reports. Used by one thread.
 */
final class UsageCollector {
  /** Clock readings kept of an instance; the one that travelled fastest is the most exact. */
  private static final int READINGS = 8;

  /** Largest number of processes that are kept; those heard of least recently are dropped. */
  private static final int MAX_PROCESSES = 2_000;

  /**
   * Time without a message that may hide runs of an instance that has ended, in milliseconds: one
   * reporting period.
   */
  static final long PERIOD_MILLIS = 1_000;

  private final long process;
  private final long windowMillis;
  private final long retentionMillis;
  private final Map<Long, Sender> senders = new HashMap<>();

  /**
   * The runs of a window.
   *
   * @param missingShare the share of the instances' time in the window of which nothing is known
   */
  record Total(Map<String, Long> counts, double missingShare) {}

  /** What is known of one process. */
  private static final class Sender {
    private final String instanceId;
    private final Deque<Long> clockReadings = new ArrayDeque<>();
    private final TreeMap<Long, Map<String, Long>> counts = new TreeMap<>();
    private UsageMessage.Span span = UsageMessage.Span.NONE;
    private long sequence;
    private long heardNanos;

    private Sender(String instanceId) {
      this.instanceId = instanceId;
    }

    /** Returns the difference between the wall clock and the receiver's monotonic clock. */
    private long wallClockOffsetMillis() {
      return clockReadings.stream().mapToLong(Long::longValue).max().orElseThrow();
    }
  }

  /**
   * Creates a collector without counts.
   *
   * @param process random number of this process
   * @param retentionMillis how long the counts of a window are kept
   */
  UsageCollector(long process, long windowMillis, long retentionMillis) {
    this.process = process;
    this.windowMillis = windowMillis;
    this.retentionMillis = retentionMillis;
  }

  /** Takes in a message that arrived at a time of the monotonic clock. */
  void accept(UsageMessage message, long nowNanos) {
    Sender sender =
        senders.computeIfAbsent(message.process(), process -> new Sender(message.senderId()));
    if (message.sequence() <= sender.sequence) {
      return;
    }
    sender.sequence = message.sequence();
    sender.heardNanos = nowNanos;
    sender.clockReadings.addLast(
        message.wallClockMillis() - TimeUnit.NANOSECONDS.toMillis(nowNanos));
    if (sender.clockReadings.size() > READINGS) {
      sender.clockReadings.removeFirst();
    }
    // Counts that another process has acknowledged are not known here; the next message has them.
    boolean isUsable = message.basis() == 0 || message.basis() == process;
    if (message.span().isKnown() && isUsable) {
      sender.span = message.span();
      if (message.basis() == 0) {
        // A window that a complete message leaves out has no runs any more.
        sender.counts.clear();
      }
      sender.counts.putAll(message.counts());
      long oldest = Math.floorDiv(message.span().toMillis() - retentionMillis, windowMillis);
      sender.counts.headMap(oldest).clear();
    }
    dropOld(nowNanos);
  }

  private void dropOld(long nowNanos) {
    long retentionNanos = TimeUnit.MILLISECONDS.toNanos(retentionMillis);
    senders.values().removeIf(sender -> nowNanos - sender.heardNanos > retentionNanos);
    if (senders.size() > MAX_PROCESSES) {
      senders.values().stream()
          .mapToLong(sender -> sender.heardNanos - nowNanos)
          .min()
          .ifPresent(
              oldest ->
                  senders.values().removeIf(sender -> sender.heardNanos - nowNanos == oldest));
    }
  }

  /**
   * Returns the median of the wall clocks at a time of the monotonic clock, in milliseconds since
   * 1970; empty while fewer than half of the instances are known.
   *
   * @param instanceIds the registered instances and those that may only have lost the store
   */
  OptionalLong trueMillisAt(long nowNanos, Collection<String> instanceIds) {
    Map<String, Sender> latest = new HashMap<>();
    for (Sender sender : senders.values()) {
      if (instanceIds.contains(sender.instanceId)) {
        latest.merge(
            sender.instanceId,
            sender,
            (one, other) -> one.heardNanos - other.heardNanos >= 0 ? one : other);
      }
    }
    if (latest.isEmpty() || 2 * latest.size() < instanceIds.size()) {
      return OptionalLong.empty();
    }
    List<Long> offsets = new ArrayList<>();
    latest.values().forEach(sender -> offsets.add(sender.wallClockOffsetMillis()));
    offsets.sort(null);
    long median = offsets.get((offsets.size() - 1) / 2);
    return OptionalLong.of(median + TimeUnit.NANOSECONDS.toMillis(nowNanos));
  }

  /**
   * Returns what is known of the runs of a window. The counts of instances whose registration has
   * ended are needed too: all registrations end while the store is away, and the instances go on.
   *
   * @param fleet the instances whose counts are needed
   * @param knowsEarlierMillis the true time since which this instance would have heard of a process
   *     that has ended; before it, an instance may have run without a trace
   */
  Total total(long window, FleetView fleet, long knowsEarlierMillis) {
    long beginMillis = window * windowMillis;
    final long endMillis = beginMillis + windowMillis;
    Map<String, Long> counts = new TreeMap<>();
    Map<String, List<UsageMessage.Span>> spans = new HashMap<>();
    for (Sender sender : senders.values()) {
      sender
          .counts
          .getOrDefault(window, Map.of())
          .forEach((customer, count) -> counts.merge(customer, count, Long::sum));
      if (sender.span.isKnown()) {
        spans.computeIfAbsent(sender.instanceId, id -> new ArrayList<>()).add(sender.span);
      }
    }
    counts.values().removeIf(count -> count == 0);
    long missingMillis = 0;
    Set<String> instanceIds = new HashSet<>(spans.keySet());
    instanceIds.addAll(fleet.instanceIds());
    for (String id : instanceIds) {
      missingMillis +=
          missingMillis(
              spans.getOrDefault(id, List.of()),
              beginMillis,
              endMillis,
              fleet.listed().containsKey(id),
              knowsEarlierMillis);
    }
    int instances = Math.max(1, fleet.instanceIds().size());
    return new Total(counts, missingMillis / (double) (windowMillis * instances));
  }

  /** Returns the time in a window for which the counts of an instance are missing. */
  private static long missingMillis(
      List<UsageMessage.Span> spans,
      long beginMillis,
      long endMillis,
      boolean isListed,
      long knowsEarlierMillis) {
    List<UsageMessage.Span> ordered = new ArrayList<>(spans);
    ordered.sort((one, other) -> Long.compare(one.fromMillis(), other.fromMillis()));
    long missingMillis = 0;
    long reachedMillis = beginMillis;
    boolean isFirst = true;
    for (UsageMessage.Span span : ordered) {
      long fromMillis = Math.min(span.fromMillis(), endMillis);
      // Nothing is missing before the first process of an instance, if this one would know of an
      // earlier one. A process that has ended ran until its next message was due at the latest.
      missingMillis +=
          isFirst
              ? Math.max(0, Math.min(fromMillis, knowsEarlierMillis) - reachedMillis)
              : Math.min(PERIOD_MILLIS, Math.max(0, fromMillis - reachedMillis));
      isFirst = false;
      reachedMillis = Math.max(reachedMillis, Math.min(span.toMillis(), endMillis));
      reachedMillis = Math.max(reachedMillis, fromMillis);
    }
    long restMillis = endMillis - reachedMillis;
    // An instance that is not registered and has sent nothing may run, unknown to this one.
    boolean hasEnded = !isListed && !spans.isEmpty();
    return missingMillis + (hasEnded ? Math.min(PERIOD_MILLIS, restMillis) : restMillis);
  }
}
