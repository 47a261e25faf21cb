package org.buckthornferry.dispatch;

import java.util.Comparator;

/**
 * The importance of a request: that of its customer decides, and among equal customers that of its
 * route. Smaller numbers are more important.
 */
public record Rank(int customerRank, int routeRank) implements Comparable<Rank> {
  private static final Comparator<Rank> ORDER =
      Comparator.comparingInt(Rank::customerRank).thenComparingInt(Rank::routeRank);

  @Override
  public int compareTo(Rank other) {
    return ORDER.compare(this, other);
  }
}
