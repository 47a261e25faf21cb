package org.buckthornferry.capacity;

/** Divides an amount between holders in proportion to their demand. */
final class FairShare {
  private FairShare() {}

  /**
   * Returns the shares, whose sum is at most {@code amount}. When the demands fit, every holder
   * receives its demand and the rest is divided by weight. Otherwise shares are proportional to
   * demand, and no holder with demand gets nothing while another gets two units or more.
   *
   * @param order indexes of the holders; earlier ones are served first when units are scarce
   */
  static long[] divide(long amount, long[] demands, double[] weights, int[] order) {
    double total = 0;
    for (long demand : demands) {
      total += demand;
    }
    return total <= amount
        ? divideSurplus(amount - (long) total, demands, weights, order)
        : divideProportionally(amount, total, demands, order);
  }

  private static long[] divideSurplus(long surplus, long[] demands, double[] weights, int[] order) {
    long[] shares = demands.clone();
    double totalWeight = 0;
    for (double weight : weights) {
      totalWeight += weight;
    }
    long remaining = surplus;
    for (int i = 0; i < shares.length && totalWeight > 0; i++) {
      long extra = Math.min(remaining, (long) Math.floor(surplus * (weights[i] / totalWeight)));
      shares[i] += extra;
      remaining -= extra;
    }
    for (int i = 0; i < order.length && remaining > 0; i++) {
      shares[order[i]]++;
      remaining--;
    }
    return shares;
  }

  private static long[] divideProportionally(
      long amount, double total, long[] demands, int[] order) {
    long[] shares = new long[demands.length];
    long remaining = amount;
    for (int i = 0; i < shares.length; i++) {
      shares[i] = Math.min(remaining, (long) Math.floor(amount * (demands[i] / total)));
      remaining -= shares[i];
    }
    for (int i : order) {
      if (shares[i] == 0 && demands[i] > 0) {
        int largest = largest(shares);
        if (remaining > 0) {
          remaining--;
          shares[i] = 1;
        } else if (shares[largest] > 1) {
          shares[largest]--;
          shares[i] = 1;
        }
      }
    }
    for (int k = 0; k < order.length && remaining > 0; k++) {
      if (shares[order[k]] < demands[order[k]]) {
        shares[order[k]]++;
        remaining--;
      }
    }
    return shares;
  }

  private static int largest(long[] shares) {
    int largest = 0;
    for (int i = 1; i < shares.length; i++) {
      if (shares[i] > shares[largest]) {
        largest = i;
      }
    }
    return largest;
  }
}
