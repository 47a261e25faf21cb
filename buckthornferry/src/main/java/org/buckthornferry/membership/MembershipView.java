package org.buckthornferry.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.buckthornferry.control.BlackboardEntry;
import org.buckthornferry.util.Checks;

/**
 * The members that this instance knows, itself included.
 *
 * @param selfId the id of this instance
 * @param members the members by instance id, in id order
 * @param absentFromList ids that the instance list once had and no longer has, and ids of members
 *     that announced that they leave before they fell silent; together with {@link
 *     MemberState#DEAD} this proves that the process has ended. A process announces that it leaves
 *     when its requests have ended
 */
public record MembershipView(
    String selfId, Map<String, Member> members, Set<String> absentFromList) {
  /** A view that knows nobody. */
  public static final MembershipView EMPTY = new MembershipView("", Map.of(), Set.of());

  /** The view of this instance. */
  public static final BlackboardEntry<MembershipView> ENTRY =
      BlackboardEntry.of("membership", EMPTY);

  /** Copies the collections, ordered by instance id. */
  public MembershipView {
    Checks.notNull(selfId, "selfId");
    members = java.util.Collections.unmodifiableMap(new TreeMap<>(members));
    absentFromList = java.util.Collections.unmodifiableSet(new TreeSet<>(absentFromList));
  }

  /** Returns the members whose process may still be running, in id order. */
  public List<Member> running() {
    List<Member> running = new ArrayList<>();
    for (Member member : members.values()) {
      if (member.state().isRunning()) {
        running.add(member);
      }
    }
    return running;
  }

  /** Returns the members that may own shards, in id order. */
  public List<Member> eligibleOwners() {
    List<Member> eligible = new ArrayList<>();
    for (Member member : members.values()) {
      if (member.state().isEligibleAsOwner()) {
        eligible.add(member);
      }
    }
    return eligible;
  }

  /** Returns whether the process with this incarnation has certainly ended. */
  public boolean hasEnded(String instanceId, long incarnation) {
    Member member = members.get(instanceId);
    if (member == null) {
      return absentFromList.contains(instanceId);
    }
    return member.incarnation() > incarnation
        || (member.state() == MemberState.DEAD && absentFromList.contains(instanceId));
  }
}
