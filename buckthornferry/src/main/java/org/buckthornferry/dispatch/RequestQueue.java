package org.buckthornferry.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToLongFunction;

/**
 * The priority queue of the waiting requests of a service. Interrupted streams come first, then
 * classes that get less than their guaranteed share, then requests of higher priority. Within a
 * priority, short answers come before long ones, because many are served in the time of a long one;
 * then requests that can still meet their goal; then by arrival plus a multiple of the expected run
 * time. A class is a route and an answer length, so long answers have a guaranteed share of their
 * own. Retries of callers get no preference: they are late already, and it would make others late.
 */
final class RequestQueue {
  /**
   * The share of its requests that each class has started before higher priorities continue.
   * Overload usually passes within seconds, during which priority should decide; a fifth prevents
   * starvation of any class in a lasting overload.
   */
  private static final double GUARANTEED_SHARE = 0.2;

  /**
   * The guaranteed share of long answers, which occupy slots many times longer. It keeps their
   * service rate above a quarter of the overall rate when seven in ten requests are served.
   */
  private static final double GUARANTEED_LONG_SHARE = 0.1;

  /**
   * The window over which the guaranteed share is counted, in milliseconds. It is longer than a
   * burst, during which lower priorities give way and are retried afterwards.
   */
  private static final long SHARE_WINDOW_MILLIS = 20_000;

  /**
   * The factor of the expected run time that is added to the arrival time for ordering. A request
   * that has waited longer than the difference comes before shorter ones.
   */
  private static final long RUN_TIME_WEIGHT = 3;

  private final List<WaitingRequest> requests = new ArrayList<>();
  private final Map<RequestClass, ClassCounts> classes = new HashMap<>();

  private record RequestClass(String name, boolean isLong) {}

  /** The order of requests while slots are scarce; the smallest comes first. */
  private record Precedence(Priority priority, boolean isLong) implements Comparable<Precedence> {
    private static Precedence of(WaitingRequest request) {
      return new Precedence(request.priority(), request.isLong());
    }

    @Override
    public int compareTo(Precedence other) {
      int byPriority = priority.compareTo(other.priority);
      return byPriority != 0 ? byPriority : Boolean.compare(isLong, other.isLong);
    }
  }

  private static final class ClassCounts {
    private final double guaranteedShare;
    private final SlidingWindowSum arrived = new SlidingWindowSum(SHARE_WINDOW_MILLIS);
    private final SlidingWindowSum started = new SlidingWindowSum(SHARE_WINDOW_MILLIS);

    private ClassCounts(double guaranteedShare) {
      this.guaranteedShare = guaranteedShare;
    }

    boolean isBelowGuarantee(long nowNanos) {
      return started.sum(nowNanos) < guaranteedShare * arrived.sum(nowNanos) - 1;
    }
  }

  /** The window for the rates from which waits are estimated, in milliseconds. */
  private static final long RATE_WINDOW_MILLIS = 2_000;

  /** The minimum share of the start rate that is assumed for a request in wait estimates. */
  private static final double MIN_RATE_SHARE = 0.15;

  private final Map<Precedence, SlidingWindowSum> admitted = new TreeMap<>();
  private final SlidingWindowSum starts = new SlidingWindowSum(RATE_WINDOW_MILLIS);

  /** The first sort key, compared before the priority. */
  private enum Group {
    CONTINUATION,
    BELOW_GUARANTEE,
    BY_PRIORITY
  }

  private record QueuedRequest(
      WaitingRequest request, Group group, Precedence precedence, boolean isLate, long dueNanos) {}

  /** Counts an arriving request towards the guaranteed share of its class. */
  void onArrival(WaitingRequest request, long nowNanos) {
    counts(request).arrived.add(1, nowNanos);
  }

  void add(WaitingRequest request, long nowNanos) {
    requests.add(request);
    if (request.countOnce()) {
      admitted
          .computeIfAbsent(
              Precedence.of(request), precedence -> new SlidingWindowSum(RATE_WINDOW_MILLIS))
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
   * Returns the expected wait of a request that is added now: the number of requests ahead of it,
   * divided by the recent start rate less the arrival rate of requests that precede it. Returns 0
   * when none is ahead, and for a class below its guaranteed share.
   */
  double expectedWaitMillis(WaitingRequest request, long nowNanos) {
    if (counts(request).isBelowGuarantee(nowNanos)) {
      return 0;
    }
    int ahead = ahead(request);
    if (ahead == 0) {
      return 0;
    }
    Precedence own = Precedence.of(request);
    double startRate = starts.sum(nowNanos) / RATE_WINDOW_MILLIS;
    double higherPriorityRate = 0;
    for (Map.Entry<Precedence, SlidingWindowSum> entry : admitted.entrySet()) {
      if (entry.getKey().compareTo(own) < 0) {
        higherPriorityRate += entry.getValue().sum(nowNanos) / RATE_WINDOW_MILLIS;
      }
    }
    double remainingRate = Math.max(startRate - higherPriorityRate, MIN_RATE_SHARE * startRate);
    return remainingRate <= 0 ? 0 : ahead / remainingRate;
  }

  /** Returns the number of waiting requests that precede one that is added now. */
  int ahead(WaitingRequest request) {
    Precedence own = Precedence.of(request);
    int ahead = 0;
    for (WaitingRequest other : requests) {
      if (Precedence.of(other).compareTo(own) <= 0) {
        ahead++;
      }
    }
    return ahead;
  }

  int size() {
    return requests.size();
  }

  /** Returns the waiting requests; later changes of the queue do not show in it. */
  List<WaitingRequest> snapshot() {
    return List.copyOf(requests);
  }

  /** Returns the earliest of the given times, or {@code Long.MAX_VALUE} for an empty queue. */
  long nextDueNanos(ToLongFunction<WaitingRequest> dueNanos) {
    long earliest = Long.MAX_VALUE;
    for (WaitingRequest request : requests) {
      earliest = Math.min(earliest, dueNanos.applyAsLong(request));
    }
    return earliest;
  }

  /** Returns the requests in the order in which they are placed. */
  List<WaitingRequest> ordered(
      ToLongFunction<WaitingRequest> latestStartNanos,
      ToLongFunction<WaitingRequest> runNanos,
      long nowNanos) {
    if (requests.size() <= 1) {
      return List.copyOf(requests);
    }
    List<QueuedRequest> queued = new ArrayList<>(requests.size());
    for (WaitingRequest request : requests) {
      boolean isLate = latestStartNanos.applyAsLong(request) - nowNanos < 0;
      queued.add(
          new QueuedRequest(
              request,
              group(request, isLate, nowNanos),
              Precedence.of(request),
              isLate,
              request.arrivalNanos() + RUN_TIME_WEIGHT * runNanos.applyAsLong(request)));
    }
    queued.sort(
        Comparator.comparing(QueuedRequest::group)
            .thenComparing(QueuedRequest::precedence)
            .thenComparing(QueuedRequest::isLate)
            .thenComparingLong(QueuedRequest::dueNanos));
    return queued.stream().map(QueuedRequest::request).toList();
  }

  private Group group(WaitingRequest request, boolean isLate, long nowNanos) {
    if (request.isContinuation()) {
      return Group.CONTINUATION;
    }
    boolean isBelowGuarantee = !isLate && counts(request).isBelowGuarantee(nowNanos);
    return isBelowGuarantee ? Group.BELOW_GUARANTEE : Group.BY_PRIORITY;
  }

  private ClassCounts counts(WaitingRequest request) {
    return classes.computeIfAbsent(
        new RequestClass(request.routeName(), request.isLong()),
        requestClass ->
            new ClassCounts(requestClass.isLong() ? GUARANTEED_LONG_SHARE : GUARANTEED_SHARE));
  }
}
