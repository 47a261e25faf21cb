package org.buckthornferry.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.buckthornferry.control.Blackboard;
import org.buckthornferry.membership.Member;
import org.buckthornferry.membership.MembershipView;

/** The other serving instances of the region, known by membership or by direct contact. */
final class ServingPeers {
  /** How long a direct contact counts if membership does not list the instance as running. */
  static final long CONTACT_TTL_NANOS = TimeUnit.SECONDS.toNanos(5);

  private final String selfId;
  private final Blackboard blackboard;
  private final Map<String, Long> contactUntilNanos = new HashMap<>();

  ServingPeers(String selfId, Blackboard blackboard) {
    this.selfId = selfId;
    this.blackboard = blackboard;
  }

  /** Returns whether membership lists this instance, so that its view is reliable. */
  boolean isViewKnown() {
    return blackboard.read(MembershipView.ENTRY).members().containsKey(selfId);
  }

  /** Counts an instance as serving although membership may not list it yet. */
  void onContact(String instanceId, long nowNanos) {
    if (!instanceId.equals(selfId)) {
      contactUntilNanos.put(instanceId, nowNanos + CONTACT_TTL_NANOS);
    }
  }

  /**
   * Counts an instance reported by a peer as serving if membership does not list it as running. It
   * may have just started, or resumed after a pause.
   */
  void onPeerReported(String instanceId, long nowNanos) {
    Member member = blackboard.read(MembershipView.ENTRY).members().get(instanceId);
    if (member == null || !member.state().isRunning()) {
      onContact(instanceId, nowNanos);
    }
  }

  void expireContacts(long nowNanos) {
    contactUntilNanos.values().removeIf(untilNanos -> untilNanos - nowNanos <= 0);
  }

  /** Returns the known incarnation of an instance, or the minimum value if none is known. */
  long incarnationOf(String instanceId) {
    Member member = blackboard.read(MembershipView.ENTRY).members().get(instanceId);
    return member == null ? Long.MIN_VALUE : member.incarnation();
  }

  /** Returns the ids of the other instances that may be serving, in id order. */
  Set<String> ids(long nowNanos) {
    MembershipView view = blackboard.read(MembershipView.ENTRY);
    Set<String> ids = new TreeSet<>();
    Member self = view.members().get(selfId);
    for (Member member : view.members().values()) {
      boolean sameRegion = self == null || member.region().equals(self.region());
      if (member.state().isRunning() && sameRegion) {
        ids.add(member.instanceId());
      }
    }
    for (Map.Entry<String, Long> entry : contactUntilNanos.entrySet()) {
      if (entry.getValue() - nowNanos > 0) {
        ids.add(entry.getKey());
      }
    }
    ids.remove(selfId);
    return ids;
  }
}
