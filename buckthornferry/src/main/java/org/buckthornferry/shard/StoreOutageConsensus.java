package org.buckthornferry.shard;

import java.util.concurrent.TimeUnit;
import org.buckthornferry.membership.Member;
import org.buckthornferry.membership.MemberState;
import org.buckthornferry.membership.MembershipView;

/**
 * Decides by majority whether the store is down, which lets an owner whose lease has expired
 * continue as provisional owner.
 */
final class StoreOutageConsensus {
  private static final long REPORT_VALID_NANOS = TimeUnit.SECONDS.toNanos(1);

  private StoreOutageConsensus() {}

  enum Verdict {
    /** A majority reports the store unreachable and no fresh report says that it is reachable. */
    DOWN,
    /** No majority, or a fresh report that the store is reachable. */
    INCONCLUSIVE,
    /** An instance reached the store after the lease expired and may have taken over. */
    CONTRADICTED
  }

  /** Returns the verdict from the members' reports, which are fresh for one second. */
  static Verdict evaluate(MembershipView view, long expiredNanos, long nowNanos) {
    Member self = view.members().get(view.selfId());
    if (self == null) {
      return Verdict.INCONCLUSIVE;
    }
    int known = 0;
    int agreeing = 0;
    boolean unclear = false;
    for (Member member : view.members().values()) {
      if (!member.region().equals(self.region())
          || view.hasEnded(member.instanceId(), member.incarnation())) {
        continue;
      }
      known++;
      if (member.instanceId().equals(view.selfId())) {
        agreeing++;
      } else if (member.storeReachable() && member.storeObservedNanos() - expiredNanos > 0) {
        return Verdict.CONTRADICTED;
      } else if (member.state() == MemberState.ALIVE) {
        boolean fresh = nowNanos - member.storeObservedNanos() <= REPORT_VALID_NANOS;
        agreeing += fresh && !member.storeReachable() ? 1 : 0;
        unclear |= fresh && member.storeReachable();
      }
    }
    return !unclear && 2 * agreeing > known ? Verdict.DOWN : Verdict.INCONCLUSIVE;
  }
}
