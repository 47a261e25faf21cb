package org.buckthornferry.dispatch;

import java.util.Locale;

/** Why a request may not be sent to an endpoint with a rate limit yet. */
public enum HoldReason {
  /** The endpoint's limit is used up. */
  RATE_USED,
  /** A request of higher priority at another instance comes first. */
  HIGHER_PRIORITY,
  /** The instance that grants the permits did not reply. */
  COORDINATOR_LOST;

  /** Returns the name in metrics and logs. */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
