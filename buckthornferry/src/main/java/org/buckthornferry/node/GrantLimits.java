package org.buckthornferry.node;

import org.buckthornferry.capacity.GrantHolder;
import org.buckthornferry.peer.Amounts;
import org.buckthornferry.routing.ConcurrencyLimits;
import org.buckthornferry.routing.DemandListener;

/** Limits the concurrency of routing to the grants that this instance holds. */
final class GrantLimits implements ConcurrencyLimits, DemandListener {
  private final GrantHolder grants;

  GrantLimits(GrantHolder grants) {
    this.grants = grants;
  }

  @Override
  public int available(String endpointId, long nowNanos) {
    return (int) Math.min(Integer.MAX_VALUE, grants.available(endpointId, nowNanos));
  }

  @Override
  public boolean tryAcquire(String endpointId, long nowNanos) {
    return grants.tryAcquire(endpointId, nowNanos);
  }

  @Override
  public void release(String endpointId, long nowNanos) {
    grants.release(endpointId, nowNanos);
  }

  @Override
  public void onDemand(String endpointId, int concurrent, long nowNanos) {
    grants.setDemand(endpointId, Amounts.ofConcurrent(concurrent), nowNanos);
  }
}
