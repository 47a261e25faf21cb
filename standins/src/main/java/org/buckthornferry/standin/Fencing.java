package org.buckthornferry.standin;

/** Remembers the highest fencing number of the orders. Used by one thread. */
final class Fencing {
  private final boolean checked;
  private long highest;

  Fencing(boolean checked) {
    this.checked = checked;
  }

  /** Returns whether an order with this number is accepted. */
  boolean accept(long number) {
    if (checked && number < highest) {
      return false;
    }
    highest = Math.max(highest, number);
    return true;
  }

  long highest() {
    return highest;
  }
}
