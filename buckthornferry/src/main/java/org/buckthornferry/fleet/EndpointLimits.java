package org.buckthornferry.fleet;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.buckthornferry.catalog.Endpoint;
import org.buckthornferry.dispatch.RateLimitNotice;
import org.buckthornferry.util.MonotonicClock;

/** The rate limits that endpoints have named in their responses. Used by one thread. */
public final class EndpointLimits {
  private final KnownLimits known = new KnownLimits();
  private final String selfId;
  private final MonotonicClock clock;

  /** Creates an instance's table without known limits. */
  public EndpointLimits(String selfId, MonotonicClock clock, MetricRegistry registry) {
    this.selfId = selfId;
    this.clock = clock;
    registry.gauge("relay.limits.named_per_second", () -> (Gauge<Double>) this::namedPerSecond);
  }

  /** Records what an endpoint states in a response. */
  public void onNotice(Endpoint endpoint, RateLimitNotice notice) {
    long nowNanos = clock.nanoTime();
    known.merge(
        KnownLimits.processKey(endpoint),
        new KnownLimits.Statement(notice, nowNanos),
        selfId,
        nowNanos);
  }

  private double namedPerSecond() {
    return known.limited(clock.nanoTime()).values().stream().mapToDouble(limit -> limit).sum();
  }
}
