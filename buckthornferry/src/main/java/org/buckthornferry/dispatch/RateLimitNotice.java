package org.buckthornferry.dispatch;

/**
 * What a response states about the limits of its endpoint, which apply to the requests of all
 * instances together.
 *
 * @param perSecond the limit in requests per second; infinite if there is none
 * @param maxRejectionsPerSecond the requests in a second that the endpoint can reject for want of
 *     room before it fails; infinite if it does not fail from it
 */
public record RateLimitNotice(Kind kind, double perSecond, double maxRejectionsPerSecond) {
  /** The response says nothing about limits, or nothing that can be read. */
  public static final RateLimitNotice UNKNOWN = new RateLimitNotice(Kind.UNKNOWN);

  /** The endpoint has no limits. */
  public static final RateLimitNotice UNLIMITED = new RateLimitNotice(Kind.UNLIMITED);

  /** The kinds of notices. */
  public enum Kind {
    UNKNOWN,
    UNLIMITED,
    LIMITED
  }

  private RateLimitNotice(Kind kind) {
    this(kind, Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY);
  }

  /** Returns the notice of an endpoint with a rate limit. */
  public static RateLimitNotice limited(double perSecond) {
    return new RateLimitNotice(Kind.LIMITED, perSecond, Double.POSITIVE_INFINITY);
  }

  /** Returns the notice of an endpoint that fails when it rejects more requests in a second. */
  public static RateLimitNotice brittle(double maxRejectionsPerSecond) {
    return new RateLimitNotice(Kind.LIMITED, Double.POSITIVE_INFINITY, maxRejectionsPerSecond);
  }

  /** Returns whether the rate of requests is limited. */
  public boolean hasRateLimit() {
    return perSecond != Double.POSITIVE_INFINITY;
  }

  /** Returns whether rejections have to be avoided. */
  public boolean isBrittle() {
    return maxRejectionsPerSecond != Double.POSITIVE_INFINITY;
  }

  /** Returns the stricter limits of two notices of the same response. */
  public RateLimitNotice and(RateLimitNotice other) {
    if (kind != Kind.LIMITED) {
      return other.kind == Kind.LIMITED || kind == Kind.UNLIMITED ? other : this;
    }
    return other.kind != Kind.LIMITED
        ? this
        : new RateLimitNotice(
            Kind.LIMITED,
            Math.min(perSecond, other.perSecond),
            Math.min(maxRejectionsPerSecond, other.maxRejectionsPerSecond));
  }
}
