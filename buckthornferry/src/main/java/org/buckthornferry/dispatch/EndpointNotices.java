package org.buckthornferry.dispatch;

import java.util.concurrent.TimeUnit;
import org.buckthornferry.catalog.Endpoint;
import org.buckthornferry.util.ExpiringTable;

/**
 * The shutdown and pause notices that endpoints of a service have sent in their answers. A notice
 * belongs to a process: a new process at the same address starts without notices, and a process
 * keeps its notices while its registration is temporarily missing.
 */
final class EndpointNotices {
  /** The maximum number of processes with a notice of one kind. */
  private static final int MAX_PROCESSES = 4_096;

  /** How long a shutdown notice is kept, in milliseconds; the process ends within seconds. */
  private static final long LEAVING_MILLIS = 600_000;

  private final ExpiringTable<Endpoint> leaving = new ExpiringTable<>(MAX_PROCESSES);
  private final ExpiringTable<Endpoint> pauses = new ExpiringTable<>(MAX_PROCESSES);

  /** Records a shutdown notice; returns whether it is new. */
  boolean onLeaving(Endpoint endpoint, long nowNanos) {
    boolean isNew = !isLeaving(endpoint, nowNanos);
    long untilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(LEAVING_MILLIS);
    leaving.put(endpoint.id(), endpoint, untilNanos);
    return isNew;
  }

  /** Records a pause notice; it never shortens a pause. */
  void onPause(Endpoint endpoint, long millis, long nowNanos) {
    long untilNanos =
        Math.max(
            pausedUntilNanos(endpoint, nowNanos), nowNanos + TimeUnit.MILLISECONDS.toNanos(millis));
    pauses.put(endpoint.id(), endpoint, untilNanos);
  }

  boolean isLeaving(Endpoint endpoint, long nowNanos) {
    return isListed(leaving, endpoint, nowNanos);
  }

  /** Returns the end of a process's pause; {@code nowNanos} when it is not paused. */
  long pausedUntilNanos(Endpoint endpoint, long nowNanos) {
    return isListed(pauses, endpoint, nowNanos)
        ? nowNanos + pauses.remainingNanos(endpoint.id(), nowNanos)
        : nowNanos;
  }

  boolean hasPauses(long nowNanos) {
    return !pauses.isEmptyAt(nowNanos);
  }

  private static boolean isListed(ExpiringTable<Endpoint> table, Endpoint endpoint, long nowNanos) {
    return table.get(endpoint.id(), nowNanos).filter(endpoint::isSameProcess).isPresent();
  }
}
