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

/** The grant ledgers of one shard during one uninterrupted ownership. */
final class ShardLedgers {
  /** Twice the sweep period. */
  private static final long MAX_SWEEP_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  private final Map<String, GrantLedger> ledgers = new HashMap<>();
  private final Set<Reporter> reporters = new HashSet<>();
  private final long firstFencingNumber;
  private final long takenNanos;
  private boolean swept;
  private long lastSweepNanos;
  private boolean takeoverComplete;
  private boolean mayIncrease;

  private record Reporter(String instanceId, long incarnation) {}

  ShardLedgers(ShardTenure tenure) {
    this.firstFencingNumber = tenure.firstFencingNumber();
    this.takenNanos = tenure.acquiredNanos();
    this.takeoverComplete = tenure.firstFencingNumber() == 1;
    this.mayIncrease = takeoverComplete;
  }

  Map<String, GrantLedger> ledgers() {
    return ledgers;
  }

  boolean isOf(ShardTenure tenure) {
    return tenure.firstFencingNumber() == firstFencingNumber;
  }

  /** Returns whether a grant with this fencing number was issued by these ledgers. */
  boolean isOwnFencingNumber(long fencingNumber) {
    return fencingNumber >= firstFencingNumber;
  }

  /** Returns whether the shard never had another owner. */
  boolean isFirstOwner() {
    return firstFencingNumber == 1;
  }

  boolean isTakeoverComplete() {
    return takeoverComplete;
  }

  /** Returns whether holders may be granted more than their reservations. */
  boolean mayIncrease() {
    return mayIncrease;
  }

  /** Records a sweep of budgets and holders while the shard was owned. */
  void markSwept(long nowNanos) {
    swept = true;
    lastSweepNanos = nowNanos;
  }

  /** Returns whether the last sweep is recent enough to extend grants. */
  boolean isUpToDate(long nowNanos) {
    return swept && nowNanos - lastSweepNanos <= MAX_SWEEP_AGE_NANOS;
  }

  void addReporter(HolderSession session) {
    reporters.add(new Reporter(session.holderId(), session.incarnation()));
  }

  /** Updates what the owner may grant; returns whether this call completed the takeover. */
  boolean updateTakeover(MembershipView view, CapacitySettings settings, long nowNanos) {
    if (takeoverComplete) {
      return false;
    }
    mayIncrease = seesMajorityAlive(view);
    long heldNanos = nowNanos - takenNanos;
    long waitNanos =
        CapacitySettings.withClockDrift(settings.grantValidNanos())
            + TimeUnit.MILLISECONDS.toNanos(settings.takeoverGraceMillis());
    if (!mayIncrease || heldNanos < waitNanos) {
      return false;
    }
    takeoverComplete =
        heldNanos >= CapacitySettings.withClockDrift(settings.fallbackValidNanos())
            || allMembersReported(view);
    return takeoverComplete;
  }

  private boolean allMembersReported(MembershipView view) {
    for (Member member : view.members().values()) {
      if (!reporters.contains(new Reporter(member.instanceId(), member.incarnation()))
          && !view.hasEnded(member.instanceId(), member.incarnation())) {
        return false;
      }
    }
    return true;
  }

  private static boolean seesMajorityAlive(MembershipView view) {
    Member self = view.members().get(view.selfId());
    if (self == null) {
      return false;
    }
    int memberCount = 0;
    int aliveCount = 0;
    for (Member member : view.members().values()) {
      if (member.region().equals(self.region())
          && !view.hasEnded(member.instanceId(), member.incarnation())) {
        memberCount++;
        boolean isSelf = member.instanceId().equals(view.selfId());
        aliveCount += isSelf || member.state() == MemberState.ALIVE ? 1 : 0;
      }
    }
    return 2 * aliveCount > memberCount;
  }
}
