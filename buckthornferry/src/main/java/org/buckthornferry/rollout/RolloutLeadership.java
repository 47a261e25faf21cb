package org.buckthornferry.rollout;

/** Tells whether this instance leads the move of a service. */
@FunctionalInterface
public interface RolloutLeadership {
  /** Returns whether this instance holds the lease for the move of a service now. */
  boolean isLeader(String serviceId, long nowNanos);
}
