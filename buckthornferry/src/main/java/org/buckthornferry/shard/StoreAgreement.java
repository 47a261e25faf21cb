package org.buckthornferry.shard;

import java.util.concurrent.TimeUnit;
import org.buckthornferry.membership.Member;
import org.buckthornferry.membership.MemberState;
import org.buckthornferry.membership.MembershipView;

/**
 * Decides whether the known instances agree that the store is down, which lets an owner whose lease
 * has lapsed continue as provisional owner.
 */
final class StoreAgreement {
  private static final long REPORT_VALID_NANOS = TimeUnit.SECONDS.toNanos(1);

  private StoreAgreement() {}

  enum Verdict {
    /** A majority is heard from and all of it reports the store unreachable. */
    DOWN,
    /** Too few fresh reports. */
    UNCLEAR,
    /** An instance reached the store after the lease lapsed and may have taken over. */
    CONTRARY
  }

  /** Returns the verdict on reports that are fresh at {@code nowNanos}. */
  static Verdict judge(MembershipView view, long lapsedNanos, long nowNanos) {
    Member self = view.members().get(view.selfId());
    if (self == null) {
      return Verdict.UNCLEAR;
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
      } else if (member.storeReachable() && member.storeObservedNanos() - lapsedNanos > 0) {
        return Verdict.CONTRARY;
      } else if (member.state() == MemberState.ALIVE) {
        boolean fresh = nowNanos - member.storeObservedNanos() <= REPORT_VALID_NANOS;
        agreeing += fresh && !member.storeReachable() ? 1 : 0;
        unclear |= fresh && member.storeReachable();
      }
    }
    return !unclear && 2 * agreeing > known ? Verdict.DOWN : Verdict.UNCLEAR;
  }
}
