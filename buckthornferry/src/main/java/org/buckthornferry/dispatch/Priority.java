package org.buckthornferry.dispatch;

import java.util.Comparator;

/**
 * The importance of a request: that of its customer decides, and among equal customers that of its
 * route. Smaller numbers are more important.
 */
public record Priority(int customerPriority, int routePriority) implements Comparable<Priority> {
  private static final Comparator<Priority> ORDER =
      Comparator.comparingInt(Priority::customerPriority).thenComparingInt(Priority::routePriority);

  @Override
  public int compareTo(Priority other) {
    return ORDER.compare(this, other);
  }
}
