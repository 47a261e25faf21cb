package org.buckthornferry.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToLongFunction;

/**
 * The waiting requests of a service. Broken streams come first, then kinds that get less than their
 * guaranteed part, then more important requests; among equals those whose callers have come back,
 * then those that can still be on time, and of these the oldest.
 */
final class WaitingLine implements Iterable<WaitingRequest> {
  /**
   * The part of its requests that each kind has served before more important ones go on. Overload
   * passes within seconds, and what matters most then is what is most important; a fifth keeps
   * every kind alive in an overload that lasts.
   */
  private static final double GUARANTEED_SHARE = 0.2;

  /** The window over which the guaranteed part is counted, in milliseconds. */
  private static final long SHARE_WINDOW_MILLIS = 5_000;

  private final List<WaitingRequest> requests = new ArrayList<>();
  private final Map<String, KindCounts> kinds = new HashMap<>();

  private static final class KindCounts {
    private final SlidingCount arrived = new SlidingCount(SHARE_WINDOW_MILLIS);
    private final SlidingCount started = new SlidingCount(SHARE_WINDOW_MILLIS);

    boolean isBehind(long nowNanos) {
      return started.sum(nowNanos) < GUARANTEED_SHARE * arrived.sum(nowNanos) - 1;
    }
  }

  /** The window over which arrivals and starts are counted for estimates, in milliseconds. */
  private static final long RATE_WINDOW_MILLIS = 2_000;

  /** The part of the starts that less important requests get at least, for estimates. */
  private static final double LEAST_RATE_SHARE = 0.15;

  private final Map<Rank, SlidingCount> arrivalsByRank = new TreeMap<>();
  private final SlidingCount starts = new SlidingCount(RATE_WINDOW_MILLIS);

  /** What is looked at before the rank. */
  private enum Group {
    CONTINUATION,
    BEHIND_GUARANTEE,
    BY_RANK
  }

  private record Ranked(WaitingRequest request, Group group, boolean isLate) {}

  void add(WaitingRequest request, long nowNanos) {
    requests.add(request);
    if (request.countOnce()) {
      counts(request).arrived.add(1, nowNanos);
      arrivalsByRank
          .computeIfAbsent(request.rank(), rank -> new SlidingCount(RATE_WINDOW_MILLIS))
          .add(1, nowNanos);
    }
  }

  boolean remove(WaitingRequest request) {
    return requests.remove(request);
  }

  void onStarted(WaitingRequest request, long nowNanos) {
    counts(request).started.add(1, nowNanos);
    starts.add(1, nowNanos);
  }

  /**
   * Returns how long a request that is added now would wait: those before it, at the rate of recent
   * starts less what more important requests take. 0 while nothing waits.
   */
  double expectedWaitMillis(WaitingRequest request, long nowNanos) {
    int before = 0;
    for (WaitingRequest other : requests) {
      if (other.rank().compareTo(request.rank()) <= 0) {
        before++;
      }
    }
    if (before == 0) {
      return 0;
    }
    double rate = starts.sum(nowNanos) / RATE_WINDOW_MILLIS;
    double taken = 0;
    for (Map.Entry<Rank, SlidingCount> entry : arrivalsByRank.entrySet()) {
      if (entry.getKey().compareTo(request.rank()) < 0) {
        taken += entry.getValue().sum(nowNanos) / RATE_WINDOW_MILLIS;
      }
    }
    double left = Math.max(rate - taken, LEAST_RATE_SHARE * rate);
    return left <= 0 ? 0 : before / left;
  }

  int size() {
    return requests.size();
  }

  @Override
  public Iterator<WaitingRequest> iterator() {
    return requests.iterator();
  }

  /** Returns the earliest of the given times, or the largest number when nothing waits. */
  long nextDueNanos(ToLongFunction<WaitingRequest> dueNanos) {
    long earliest = Long.MAX_VALUE;
    for (WaitingRequest request : requests) {
      earliest = Math.min(earliest, dueNanos.applyAsLong(request));
    }
    return earliest;
  }

  /** Returns the requests in the order in which they get free slots. */
  List<WaitingRequest> ordered(ToLongFunction<WaitingRequest> latestStartNanos, long nowNanos) {
    if (requests.size() <= 1) {
      return List.copyOf(requests);
    }
    List<Ranked> ranked = new ArrayList<>(requests.size());
    for (WaitingRequest request : requests) {
      boolean isLate = latestStartNanos.applyAsLong(request) - nowNanos < 0;
      ranked.add(new Ranked(request, group(request, isLate, nowNanos), isLate));
    }
    ranked.sort(
        Comparator.comparing(Ranked::group)
            .thenComparing(entry -> entry.request().rank())
            .thenComparing(entry -> !entry.request().hasReturned())
            .thenComparing(Ranked::isLate)
            .thenComparingLong(entry -> entry.request().arrivalNanos()));
    return ranked.stream().map(Ranked::request).toList();
  }

  private Group group(WaitingRequest request, boolean isLate, long nowNanos) {
    if (request.isContinuation()) {
      return Group.CONTINUATION;
    }
    boolean isBehind = !isLate && counts(request).isBehind(nowNanos);
    return isBehind ? Group.BEHIND_GUARANTEE : Group.BY_RANK;
  }

  private KindCounts counts(WaitingRequest request) {
    return kinds.computeIfAbsent(request.kindName(), name -> new KindCounts());
  }
}
