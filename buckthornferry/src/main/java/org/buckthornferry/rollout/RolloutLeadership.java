package org.buckthornferry.rollout;

/** Decides whether this instance leads the rollout of a service. */
@FunctionalInterface
public interface RolloutLeadership {
  /** Returns whether this instance currently holds the lease for the rollout of a service. */
  boolean isLeader(String serviceId, long nowNanos);
}
