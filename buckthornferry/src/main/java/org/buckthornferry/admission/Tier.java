package org.buckthornferry.admission;

import com.fasterxml.jackson.annotation.JsonProperty;

/** The priority class of a request. A higher tier is never shed before a lower one. */
public enum Tier {
  /** Served first; keeps waiting during an outage, up to its own limit. */
  @JsonProperty("critical")
  CRITICAL,
  /** Served after {@link #CRITICAL}. */
  @JsonProperty("standard")
  STANDARD,
  /** Served last and shed first. */
  @JsonProperty("bulk")
  BULK;

  /** Returns whether this tier has a higher priority than {@code other}. */
  public boolean isAbove(Tier other) {
    return compareTo(other) < 0;
  }

  /** Returns the tier with the lower priority. */
  public static Tier lower(Tier a, Tier b) {
    return a.isAbove(b) ? b : a;
  }
}
