package org.buckthornferry.dispatch;

/**
 * What a response states about the rate limit of its endpoint, which applies to the requests of all
 * instances together.
 *
 * @param perSecond the limit in requests per second; 0 unless the kind is {@code LIMITED}
 */
public record RateLimitNotice(Kind kind, double perSecond) {
  /** The response says nothing about the rate limit, or nothing that can be read. */
  public static final RateLimitNotice UNKNOWN = new RateLimitNotice(Kind.UNKNOWN, 0);

  /** The endpoint has no rate limit. */
  public static final RateLimitNotice UNLIMITED = new RateLimitNotice(Kind.UNLIMITED, 0);

  /** The kinds of notices. */
  public enum Kind {
    UNKNOWN,
    UNLIMITED,
    LIMITED
  }

  /** Returns the notice of an endpoint with a rate limit. */
  public static RateLimitNotice limited(double perSecond) {
    return new RateLimitNotice(Kind.LIMITED, perSecond);
  }
}
