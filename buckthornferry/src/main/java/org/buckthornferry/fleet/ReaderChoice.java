package org.buckthornferry.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.buckthornferry.util.Rendezvous;

/**
 * Decides from which instance of its failure domain an instance hears of changes in the store. One
 * reads the store for all, so that the store's load does not grow with the instances. Who knows the
 * same instances chooses alike, without an agreement. A reader that is silent or behind is passed
 * over for a while; the next one has passed it over too and reads the store by then.
 */
final class ReaderChoice {
  /**
   * Smaller failure domains read the store themselves: a reader has to prove every few hundred
   * milliseconds that it is not behind, which costs as many calls as a few instances do.
   */
  static final int MIN_SHARING_INSTANCES = 4;

  /** How long a reader that failed is passed over at first, in milliseconds; doubles. */
  private static final long FIRST_PENALTY_MILLIS = 3_000;

  /** The longest such time, in milliseconds; the registration of a dead one ends before. */
  private static final long MAX_PENALTY_MILLIS = 24_000;

  private final String selfId;
  private final String ownDomain;
  private final Map<String, Penalty> penalties = new HashMap<>();

  private record Penalty(long millis, long untilNanos) {}

  ReaderChoice(String selfId, String ownDomain) {
    this.selfId = selfId;
    this.ownDomain = ownDomain;
  }

  /** Returns whether one instance of the failure domain reads the store for the others. */
  boolean isShared(FleetView fleet) {
    return fleet.instancesIn(ownDomain).size() >= MIN_SHARING_INSTANCES;
  }

  /** Returns the instance to ask, or empty when this one has to read the store itself. */
  Optional<String> reader(FleetView fleet, long nowNanos) {
    if (!isShared(fleet)) {
      return Optional.empty();
    }
    List<String> candidates = new ArrayList<>(fleet.instancesIn(ownDomain));
    candidates.removeIf(id -> isPassedOver(id, nowNanos));
    return Rendezvous.first(ownDomain, candidates).filter(id -> !id.equals(selfId));
  }

  /** A reader did not answer in time, or does not know whether its copy is current. */
  void onFailed(String readerId, long nowNanos) {
    Penalty last = penalties.get(readerId);
    long millis =
        last == null ? FIRST_PENALTY_MILLIS : Math.min(2 * last.millis, MAX_PENALTY_MILLIS);
    penalties.put(readerId, new Penalty(millis, nowNanos + TimeUnit.MILLISECONDS.toNanos(millis)));
  }

  /** A reader has answered with a current copy. */
  void onAnswered(String readerId) {
    penalties.remove(readerId);
  }

  /** Forgets instances that are gone. */
  void retain(FleetView fleet) {
    penalties.keySet().retainAll(fleet.listed().keySet());
  }

  private boolean isPassedOver(String id, long nowNanos) {
    Penalty penalty = penalties.get(id);
    return penalty != null && penalty.untilNanos - nowNanos > 0;
  }
}
