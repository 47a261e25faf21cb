package org.buckthornferry.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.buckthornferry.control.Blackboard;
import org.buckthornferry.membership.Member;
import org.buckthornferry.membership.MembershipView;

/** The other instances of the region that serve, by membership and by direct contact. */
final class ServingPeers {
  /** How long direct contact counts when membership does not show the instance as running. */
  static final long CONTACT_NANOS = TimeUnit.SECONDS.toNanos(5);

  private final String selfId;
  private final Blackboard blackboard;
  private final Map<String, Long> contactUntilNanos = new HashMap<>();

  ServingPeers(String selfId, Blackboard blackboard) {
    this.selfId = selfId;
    this.blackboard = blackboard;
  }

  /** Returns whether membership knows this instance, so that its view can be relied on. */
  boolean isViewKnown() {
    return blackboard.read(MembershipView.ENTRY).members().containsKey(selfId);
  }

  /** Counts an instance as serving although membership may not show it yet. */
  void contact(String instanceId, long nowNanos) {
    if (!instanceId.equals(selfId)) {
      contactUntilNanos.put(instanceId, nowNanos + CONTACT_NANOS);
    }
  }

  /**
   * Counts an instance named by a peer as serving when membership does not show it as running. It
   * may have resumed after a pause, or may have started just now.
   */
  void introduce(String instanceId, long nowNanos) {
    Member member = blackboard.read(MembershipView.ENTRY).members().get(instanceId);
    if (member == null || !member.state().isRunning()) {
      contact(instanceId, nowNanos);
    }
  }

  void expireContacts(long nowNanos) {
    contactUntilNanos.values().removeIf(untilNanos -> untilNanos - nowNanos <= 0);
  }

  /** Returns the known incarnation of an instance, or the smallest value when none is known. */
  long incarnationOf(String instanceId) {
    Member member = blackboard.read(MembershipView.ENTRY).members().get(instanceId);
    return member == null ? Long.MIN_VALUE : member.incarnation();
  }

  /** Returns the ids of the instances that may be serving, without this one, in id order. */
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
    for (Map.Entry<String, Long> contact : contactUntilNanos.entrySet()) {
      if (contact.getValue() - nowNanos > 0) {
        ids.add(contact.getKey());
      }
    }
    ids.remove(selfId);
    return ids;
  }
}
