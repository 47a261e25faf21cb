package org.buckthornferry.standin;

import java.util.concurrent.TimeUnit;
import org.buckthornferry.util.Checks;
import org.buckthornferry.util.MonotonicClock;

/** Limits a rate; the burst is what the rate allows in one second. Safe for concurrent use. */
final class TokenBucket {
  private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

  private final double perSecond;
  private final MonotonicClock clock;
  private double tokens;
  private long filledNanos;

  TokenBucket(long perSecond, MonotonicClock clock) {
    this.perSecond = Checks.positive(perSecond, "perSecond");
    this.clock = clock;
    this.tokens = perSecond;
    this.filledNanos = clock.nanoTime();
  }

  synchronized boolean tryTake() {
    long nowNanos = clock.nanoTime();
    double gained = (nowNanos - filledNanos) / NANOS_PER_SECOND * perSecond;
    tokens = Math.min(perSecond, tokens + gained);
    filledNanos = nowNanos;
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }
}
