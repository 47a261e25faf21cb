package org.buckthornferry.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.buckthornferry.util.Rendezvous;

/**
 * Selects the instance of a failure domain that watches the store for all of them, so that the load
 * on the store does not grow with the instances. Selection is by rendezvous hashing: instances with
 * the same view select the same reader without coordination. A reader that does not reply or whose
 * copy is stale is skipped with exponential backoff; by then the next reader has skipped it too and
 * watches the store itself.
 */
final class ReaderSelector {
  /**
   * Instances of smaller failure domains watch the store themselves. A reader has to confirm every
   * few hundred milliseconds that its copy is current, which costs as many store calls as a few
   * instances.
   */
  static final int MIN_SHARING_INSTANCES = 4;

  /**
   * Initial time for which a failed reader is skipped, in milliseconds; doubles on each failure.
   */
  private static final long INITIAL_BACKOFF_MILLIS = 3_000;

  /**
   * Maximum time for which a failed reader is skipped, in milliseconds; the registration of a dead
   * instance expires sooner.
   */
  private static final long MAX_BACKOFF_MILLIS = 24_000;

  private final String selfId;
  private final String ownDomain;
  private final Map<String, Backoff> backoffs = new HashMap<>();

  private record Backoff(long millis, long untilNanos) {}

  ReaderSelector(String selfId, String ownDomain) {
    this.selfId = selfId;
    this.ownDomain = ownDomain;
  }

  /** Returns whether one instance of the failure domain watches the store for the others. */
  boolean hasSharedReader(FleetView fleet) {
    return fleet.instancesIn(ownDomain).size() >= MIN_SHARING_INSTANCES;
  }

  /** Returns the instance to poll, or empty if this one has to watch the store itself. */
  Optional<String> selectReader(FleetView fleet, long nowNanos) {
    if (!hasSharedReader(fleet)) {
      return Optional.empty();
    }
    List<String> candidates = new ArrayList<>(fleet.instancesIn(ownDomain));
    candidates.removeIf(id -> isBackedOff(id, nowNanos));
    return Rendezvous.first(ownDomain, candidates).filter(id -> !id.equals(selfId));
  }

  /** Records that a reader failed to reply in time with a current copy. */
  void onFailed(String readerId, long nowNanos) {
    Backoff last = backoffs.get(readerId);
    long millis =
        last == null ? INITIAL_BACKOFF_MILLIS : Math.min(2 * last.millis, MAX_BACKOFF_MILLIS);
    backoffs.put(readerId, new Backoff(millis, nowNanos + TimeUnit.MILLISECONDS.toNanos(millis)));
  }

  /** Records that a reader replied with a current copy. */
  void onAnswered(String readerId) {
    backoffs.remove(readerId);
  }

  /** Drops the backoff of instances that are no longer registered. */
  void retainRegistered(FleetView fleet) {
    backoffs.keySet().retainAll(fleet.listed().keySet());
  }

  private boolean isBackedOff(String id, long nowNanos) {
    Backoff backoff = backoffs.get(id);
    return backoff != null && backoff.untilNanos - nowNanos > 0;
  }
}
