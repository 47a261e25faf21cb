package org.buckthornferry.capacity;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.buckthornferry.membership.Member;
import org.buckthornferry.membership.MemberState;
import org.buckthornferry.membership.MembershipView;
import org.buckthornferry.shard.ShardTenure;

/** The ledgers of one shard over an unbroken ownership. */
final class Tenancy {
  /** Two times the period in which ledgers are looked at. */
  private static final long FRESH_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  private final Map<String, GrantLedger> ledgers = new HashMap<>();
  private final Set<Reporter> reporters = new HashSet<>();
  private final long firstFencingNumber;
  private final long takenNanos;
  private boolean swept;
  private long sweptNanos;
  private boolean settled;
  private boolean mayRaise;

  private record Reporter(String instanceId, long incarnation) {}

  Tenancy(ShardTenure tenure) {
    this.firstFencingNumber = tenure.firstFencingNumber();
    this.takenNanos = tenure.acquiredNanos();
    this.settled = tenure.firstFencingNumber() == 1;
    this.mayRaise = settled;
  }

  Map<String, GrantLedger> ledgers() {
    return ledgers;
  }

  boolean isOf(ShardTenure tenure) {
    return tenure.firstFencingNumber() == firstFencingNumber;
  }

  /** Returns whether a grant with the given fencing number came from these ledgers. */
  boolean issued(long fencingNumber) {
    return fencingNumber >= firstFencingNumber;
  }

  /** Returns whether the shard never had another owner. */
  boolean isNew() {
    return firstFencingNumber == 1;
  }

  boolean isSettled() {
    return settled;
  }

  /** Returns whether holders may be given more than they have. */
  boolean mayRaise() {
    return mayRaise;
  }

  /** Notes that budgets and holders were looked at while the shard was owned. */
  void swept(long nowNanos) {
    swept = true;
    sweptNanos = nowNanos;
  }

  /** Returns whether the ledgers are recent enough to extend grants by them. */
  boolean isFresh(long nowNanos) {
    return swept && nowNanos - sweptNanos <= FRESH_NANOS;
  }

  void reportedBy(HolderSession session) {
    reporters.add(new Reporter(session.holderId(), session.incarnation()));
  }

  /** Decides again what the owner may hand out; returns whether the shard is settled just now. */
  boolean update(MembershipView view, CapacitySettings settings, long nowNanos) {
    if (settled) {
      return false;
    }
    mayRaise = hearsMajority(view);
    long heldNanos = nowNanos - takenNanos;
    long waitNanos =
        CapacitySettings.ownerNanos(settings.grantValidNanos())
            + TimeUnit.MILLISECONDS.toNanos(settings.settleMillis());
    if (!mayRaise || heldNanos < waitNanos) {
      return false;
    }
    settled =
        heldNanos >= CapacitySettings.ownerNanos(settings.fallbackValidNanos())
            || everyoneReported(view);
    return settled;
  }

  private boolean everyoneReported(MembershipView view) {
    for (Member member : view.members().values()) {
      if (!reporters.contains(new Reporter(member.instanceId(), member.incarnation()))
          && !view.hasEnded(member.instanceId(), member.incarnation())) {
        return false;
      }
    }
    return true;
  }

  private static boolean hearsMajority(MembershipView view) {
    Member self = view.members().get(view.selfId());
    if (self == null) {
      return false;
    }
    int known = 0;
    int heard = 0;
    for (Member member : view.members().values()) {
      if (member.region().equals(self.region())
          && !view.hasEnded(member.instanceId(), member.incarnation())) {
        known++;
        boolean own = member.instanceId().equals(view.selfId());
        heard += own || member.state() == MemberState.ALIVE ? 1 : 0;
      }
    }
    return 2 * heard > known;
  }
}
