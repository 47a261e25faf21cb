package org.buckthornferry.admission;

import java.util.Optional;

/** The shed level of a service: the highest tier that may be shed. Levels are ordered. */
public enum ShedLevel {
  /** Nothing is shed. */
  NONE(null),
  /** Requests of {@link Tier#BULK} may be shed. */
  BULK(Tier.BULK),
  /** Requests of {@link Tier#STANDARD} may be shed; every lower tier is refused. */
  STANDARD(Tier.STANDARD),
  /** Requests of {@link Tier#CRITICAL} may be shed; every lower tier is refused. */
  CRITICAL(Tier.CRITICAL);

  private final Tier highestTier;

  ShedLevel(Tier highestTier) {
    this.highestTier = highestTier;
  }

  /** Returns the lowest level at which {@code tier} may be shed. */
  public static ShedLevel of(Tier tier) {
    return switch (tier) {
      case BULK -> BULK;
      case STANDARD -> STANDARD;
      case CRITICAL -> CRITICAL;
    };
  }

  /** Returns the higher of two levels. */
  public static ShedLevel max(ShedLevel a, ShedLevel b) {
    return a.compareTo(b) >= 0 ? a : b;
  }

  /** Returns the highest tier that may be shed, or empty at {@link #NONE}. */
  public Optional<Tier> tier() {
    return Optional.ofNullable(highestTier);
  }

  /** Returns whether a request of {@code tier} may be shed while the level is in force. */
  public boolean permitsShedding(Tier tier) {
    return highestTier != null && !tier.isAbove(highestTier);
  }

  /** Returns whether an instance that acknowledged the level refuses all requests of the tier. */
  public boolean refuses(Tier tier) {
    return highestTier != null && highestTier.isAbove(tier);
  }

  /** Returns the next higher level, or this level when there is none. */
  public ShedLevel raised() {
    return switch (this) {
      case NONE -> BULK;
      case BULK -> STANDARD;
      case STANDARD, CRITICAL -> CRITICAL;
    };
  }

  /** Returns the next lower level, or this level when there is none. */
  public ShedLevel lowered() {
    return switch (this) {
      case NONE, BULK -> NONE;
      case STANDARD -> BULK;
      case CRITICAL -> STANDARD;
    };
  }
}
