package org.buckthornferry.dispatch;

import java.util.Comparator;

/**
 * The priority of a request, compared by customer first and then by route. Smaller numbers come
 * first.
 */
public record Priority(int customerPriority, int routePriority) implements Comparable<Priority> {
  /** No other priority comes before this one. */
  public static final Priority HIGHEST = new Priority(Integer.MIN_VALUE, Integer.MIN_VALUE);

  private static final Comparator<Priority> ORDER =
      Comparator.comparingInt(Priority::customerPriority).thenComparingInt(Priority::routePriority);

  @Override
  public int compareTo(Priority other) {
    return ORDER.compare(this, other);
  }
}
