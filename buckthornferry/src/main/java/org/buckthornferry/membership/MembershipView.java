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
 * An immutable snapshot of the members known to this instance, including itself.
 *
 * @param selfId the id of this instance
 * @param members the members by instance id, in id order
 * @param absentFromList ids that were removed from the instance list, and ids of members that
 *     announced their departure before their heartbeats stopped; together with {@link
 *     MemberState#DEAD} this proves that the process has ended. A process announces its departure
 *     after its requests have ended
 */
public record MembershipView(
    String selfId, Map<String, Member> members, Set<String> absentFromList) {
  /** A view without members. */
  public static final MembershipView EMPTY = new MembershipView("", Map.of(), Set.of());

  /** The blackboard entry for the current view. */
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

  /** Returns whether the process with the given incarnation is known to have ended. */
  public boolean hasEnded(String instanceId, long incarnation) {
    Member member = members.get(instanceId);
    if (member == null) {
      return absentFromList.contains(instanceId);
    }
    return member.incarnation() > incarnation
        || (member.state() == MemberState.DEAD && absentFromList.contains(instanceId));
  }
}
