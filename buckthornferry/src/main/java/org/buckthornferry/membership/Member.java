package org.buckthornferry.membership;

import org.buckthornferry.util.Checks;

/**
 * The state of an instance in the view of this instance.
 *
 * @param peerAddress the IP address and port for messages between instances
 * @param incarnation the start time of the process, in milliseconds since the epoch
 * @param refutations the number of suspicions that the process has refuted
 * @param storeReachable whether the member's last observed call reached the key-value service
 * @param storeObservedNanos when {@code storeReachable} was observed, on this instance's clock
 */
public record Member(
    String instanceId,
    String peerAddress,
    String failureDomain,
    String region,
    long incarnation,
    long refutations,
    MemberState state,
    boolean storeReachable,
    long storeObservedNanos) {
  /** Checks that the identifiers are present. */
  public Member {
    Checks.notEmpty(instanceId, "instanceId");
    Checks.notEmpty(peerAddress, "peerAddress");
    Checks.notEmpty(failureDomain, "failureDomain");
    Checks.notEmpty(region, "region");
    Checks.notNull(state, "state");
  }

  /** Returns a copy of this member with the given state. */
  public Member withState(MemberState newState) {
    return new Member(
        instanceId,
        peerAddress,
        failureDomain,
        region,
        incarnation,
        refutations,
        newState,
        storeReachable,
        storeObservedNanos);
  }
}
