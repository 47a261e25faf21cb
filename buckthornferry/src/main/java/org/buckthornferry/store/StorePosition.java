package org.buckthornferry.store;

import java.util.Comparator;

/**
 * A point in the history of the store.
 *
 * @param era rises each time the store is restored from an older copy of itself, which then gives
 *     out the same revisions again
 * @param revision rises with each change; comparable within one era only
 */
public record StorePosition(long era, long revision) implements Comparable<StorePosition> {
  /** Position before anything has been read. */
  public static final StorePosition NONE = new StorePosition(0, 0);

  private static final Comparator<StorePosition> ORDER =
      Comparator.comparingLong(StorePosition::era).thenComparingLong(StorePosition::revision);

  @Override
  public int compareTo(StorePosition other) {
    return ORDER.compare(this, other);
  }

  /** Returns whether this position is later than another one. */
  public boolean isAfter(StorePosition other) {
    return compareTo(other) > 0;
  }
}
