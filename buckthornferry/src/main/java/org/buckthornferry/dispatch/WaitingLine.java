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
 * guaranteed part, then more important requests; among equals those with short answers, of which
 * many are served in the time of a long one, then those that can still be on time, and of these the
 * oldest, less their expected time at an endpoint. Long answers of a kind have a guaranteed part of
 * their own. Callers that have come back are late already; to prefer them would make others late.
 */
final class WaitingLine implements Iterable<WaitingRequest> {
  /**
   * The part of its requests that each kind has served before more important ones go on. Overload
   * passes within seconds, and what matters most then is what is most important; a fifth keeps
   * every kind alive in an overload that lasts.
   */
  private static final double GUARANTEED_SHARE = 0.2;

  /**
   * The same for long answers of a kind, which need many times the slots' time: a quarter as often
   * as all when seven in ten are served.
   */
  private static final double GUARANTEED_LONG_SHARE = 0.1;

  /**
   * The window over which the guaranteed part is counted, in milliseconds: longer than a burst, in
   * which the less important give way and come back afterwards.
   */
  private static final long SHARE_WINDOW_MILLIS = 20_000;

  /**
   * How much later a request counts as arrived for each unit of time that it is expected to run.
   * Those that wait longer than this are served before shorter ones.
   */
  private static final long RUN_WEIGHT = 3;

  private final List<WaitingRequest> requests = new ArrayList<>();
  private final Map<Kind, KindCounts> kinds = new HashMap<>();

  private record Kind(String name, boolean isLong) {}

  /** What precedes what while slots are scarce; the smallest comes first. */
  private record Precedence(Priority priority, boolean isLong) implements Comparable<Precedence> {
    private static Precedence of(WaitingRequest request) {
      return new Precedence(request.priority(), request.isLong());
    }

    @Override
    public int compareTo(Precedence other) {
      int byRank = priority.compareTo(other.priority);
      return byRank != 0 ? byRank : Boolean.compare(isLong, other.isLong);
    }
  }

  private static final class KindCounts {
    private final double guaranteedShare;
    private final SlidingCount arrived = new SlidingCount(SHARE_WINDOW_MILLIS);
    private final SlidingCount started = new SlidingCount(SHARE_WINDOW_MILLIS);

    private KindCounts(double guaranteedShare) {
      this.guaranteedShare = guaranteedShare;
    }

    boolean isBehind(long nowNanos) {
      return started.sum(nowNanos) < guaranteedShare * arrived.sum(nowNanos) - 1;
    }
  }

  /** The window over which admissions and starts are counted for estimates, in milliseconds. */
  private static final long RATE_WINDOW_MILLIS = 2_000;

  /** The part of the starts that less important requests get at least, for estimates. */
  private static final double LEAST_RATE_SHARE = 0.15;

  private final Map<Precedence, SlidingCount> admitted = new TreeMap<>();
  private final SlidingCount starts = new SlidingCount(RATE_WINDOW_MILLIS);

  /** What is looked at before the rank. */
  private enum Group {
    CONTINUATION,
    BEHIND_GUARANTEE,
    BY_RANK
  }

  private record Ranked(
      WaitingRequest request, Group group, Precedence precedence, boolean isLate, long dueNanos) {}

  /** Counts a request that asks for a place, for the guaranteed part of its kind. */
  void onArrival(WaitingRequest request, long nowNanos) {
    counts(request).arrived.add(1, nowNanos);
  }

  void add(WaitingRequest request, long nowNanos) {
    requests.add(request);
    if (request.countOnce()) {
      admitted
          .computeIfAbsent(
              Precedence.of(request), precedence -> new SlidingCount(RATE_WINDOW_MILLIS))
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
   * starts less what requests take that precede it. 0 while nothing waits, and for a kind that is
   * due next.
   */
  double expectedWaitMillis(WaitingRequest request, long nowNanos) {
    if (counts(request).isBehind(nowNanos)) {
      return 0;
    }
    Precedence own = Precedence.of(request);
    int before = 0;
    for (WaitingRequest other : requests) {
      if (Precedence.of(other).compareTo(own) <= 0) {
        before++;
      }
    }
    if (before == 0) {
      return 0;
    }
    double rate = starts.sum(nowNanos) / RATE_WINDOW_MILLIS;
    double taken = 0;
    for (Map.Entry<Precedence, SlidingCount> entry : admitted.entrySet()) {
      if (entry.getKey().compareTo(own) < 0) {
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
  List<WaitingRequest> ordered(
      ToLongFunction<WaitingRequest> latestStartNanos,
      ToLongFunction<WaitingRequest> runNanos,
      long nowNanos) {
    if (requests.size() <= 1) {
      return List.copyOf(requests);
    }
    List<Ranked> ranked = new ArrayList<>(requests.size());
    for (WaitingRequest request : requests) {
      boolean isLate = latestStartNanos.applyAsLong(request) - nowNanos < 0;
      ranked.add(
          new Ranked(
              request,
              group(request, isLate, nowNanos),
              Precedence.of(request),
              isLate,
              request.arrivalNanos() + RUN_WEIGHT * runNanos.applyAsLong(request)));
    }
    ranked.sort(
        Comparator.comparing(Ranked::group)
            .thenComparing(Ranked::precedence)
            .thenComparing(Ranked::isLate)
            .thenComparingLong(Ranked::dueNanos));
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
    return kinds.computeIfAbsent(
        new Kind(request.routeName(), request.isLong()),
        kind -> new KindCounts(kind.isLong() ? GUARANTEED_LONG_SHARE : GUARANTEED_SHARE));
  }
}
