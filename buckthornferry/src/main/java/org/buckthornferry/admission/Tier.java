package org.buckthornferry.admission;

import com.fasterxml.jackson.annotation.JsonProperty;

/** The importance of a request. A higher tier is never shed before a lower one. */
public enum Tier {
  /** Served first; waits through an outage up to its own limit. */
  @JsonProperty("critical")
  CRITICAL,
  /** Served after {@link #CRITICAL}. */
  @JsonProperty("standard")
  STANDARD,
  /** Served last and shed first. */
  @JsonProperty("bulk")
  BULK;

  /** Returns whether this tier is more important than {@code other}. */
  public boolean isAbove(Tier other) {
    return compareTo(other) < 0;
  }

  /** Returns the less important of two tiers. */
  public static Tier lower(Tier a, Tier b) {
    return a.isAbove(b) ? b : a;
  }
}
