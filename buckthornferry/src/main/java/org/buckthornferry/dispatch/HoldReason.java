package org.buckthornferry.dispatch;

import java.util.Locale;

/**
 * Why a request may not be sent to an endpoint with a rate limit, or one that rejections harm, yet.
 */
public enum HoldReason {
  /** The endpoint's limit is used up. */
  RATE_USED,
  /** The endpoint has no free slot, and fails when it rejects too many requests. */
  NO_FREE_SLOT,
  /** A request of higher priority at another instance comes first. */
  HIGHER_PRIORITY,
  /** The instance that grants the permits did not reply. */
  COORDINATOR_LOST;

  /** Returns the name in metrics and logs. */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
