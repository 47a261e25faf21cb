package org.buckthornferry.request;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.buckthornferry.membership.Member;
import org.buckthornferry.membership.MembershipView;

/** Selects the backup of a claim shard by rendezvous hashing. */
final class BackupPlacement {
  private BackupPlacement() {}

  /**
   * Returns the members that may back up a shard of {@code ownerId}, highest rank first: those in
   * the owner's region and in another failure domain. When the owner is no longer in the view,
   * every other member is eligible.
   */
  static List<String> rank(int shard, String ownerId, MembershipView view) {
    Member owner = view.members().get(ownerId);
    List<Member> eligible = new ArrayList<>();
    for (Member member : view.eligibleOwners()) {
      boolean suitable =
          owner == null
              || (!member.failureDomain().equals(owner.failureDomain())
                  && member.region().equals(owner.region()));
      if (suitable && !member.instanceId().equals(ownerId)) {
        eligible.add(member);
      }
    }
    eligible.sort(
        Comparator.comparingLong((Member member) -> weight(shard, member.instanceId()))
            .thenComparing(Member::instanceId));
    return eligible.stream().map(Member::instanceId).toList();
  }

  private static long weight(int shard, String instanceId) {
    long mixed = instanceId.hashCode() * 0x9E3779B97F4A7C15L + shard * 0xC2B2AE3D27D4EB4FL;
    mixed = (mixed ^ (mixed >>> 32)) * 0xD6E8FEB86659FD93L;
    mixed = (mixed ^ (mixed >>> 32)) * 0xD6E8FEB86659FD93L;
    return mixed ^ (mixed >>> 32);
  }
}
