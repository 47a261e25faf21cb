package org.buckthornferry.dispatch;

import java.util.concurrent.TimeUnit;
import org.buckthornferry.catalog.Endpoint;
import org.buckthornferry.util.AgedTable;

/**
 * What endpoints of a service have asked of this instance in their answers. It belongs to a
 * process: another one at the same address begins clean, and the same one is still known when its
 * registration has been away.
 */
final class EndpointWishes {
  /** The most processes that are remembered. */
  private static final int MAX_PROCESSES = 4_096;

  /** How long a leaving process is remembered, in milliseconds; it ends within seconds. */
  private static final long LEAVING_MILLIS = 600_000;

  private final AgedTable<Endpoint> leaving = new AgedTable<>(MAX_PROCESSES);
  private final AgedTable<Endpoint> pauses = new AgedTable<>(MAX_PROCESSES);

  /** Notes that a process leaves; returns whether that is new. */
  boolean onLeaving(Endpoint endpoint, long nowNanos) {
    boolean isNew = !isLeaving(endpoint, nowNanos);
    long untilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(LEAVING_MILLIS);
    leaving.put(endpoint.id(), endpoint, untilNanos);
    return isNew;
  }

  /** Notes that a process wants no request for a time; a shorter wish ends no longer one. */
  void onPause(Endpoint endpoint, long millis, long nowNanos) {
    long untilNanos =
        Math.max(
            pausedUntilNanos(endpoint, nowNanos), nowNanos + TimeUnit.MILLISECONDS.toNanos(millis));
    pauses.put(endpoint.id(), endpoint, untilNanos);
  }

  boolean isLeaving(Endpoint endpoint, long nowNanos) {
    return holds(leaving, endpoint, nowNanos);
  }

  /** Returns until when a process wants no request; {@code nowNanos} when it takes them. */
  long pausedUntilNanos(Endpoint endpoint, long nowNanos) {
    return holds(pauses, endpoint, nowNanos)
        ? nowNanos + pauses.remainingNanos(endpoint.id(), nowNanos)
        : nowNanos;
  }

  boolean hasPauses(long nowNanos) {
    return !pauses.isEmptyAt(nowNanos);
  }

  private static boolean holds(AgedTable<Endpoint> table, Endpoint endpoint, long nowNanos) {
    return table.get(endpoint.id(), nowNanos).filter(endpoint::isSameProcess).isPresent();
  }
}
