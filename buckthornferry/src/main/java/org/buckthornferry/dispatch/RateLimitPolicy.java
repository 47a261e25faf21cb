package org.buckthornferry.dispatch;

/** Tells which endpoint processes limit the rate of the requests of all instances together. */
public interface RateLimitPolicy {
  /** No endpoint has a limit. */
  RateLimitPolicy NONE =
      new RateLimitPolicy() {
        @Override
        public boolean hasLimits() {
          return false;
        }

        @Override
        public boolean isLimited(String processKey) {
          return false;
        }
      };

  /** Returns whether any endpoint has a limit, so that lookups can be skipped. */
  boolean hasLimits();

  /** Returns whether each request to an endpoint process needs a permit. */
  boolean isLimited(String processKey);
}
