package org.buckthornferry.capacity;

/** Divides an amount between holders by their demand. */
final class FairShare {
  private FairShare() {}

  /**
   * Returns the shares, whose sum is at most {@code pot}. When the demands fit, everyone receives
   * its demand and the rest is divided by weight. Otherwise shares are proportional to demand, and
   * nobody with a demand is left without a share while another has two.
   *
   * @param order indexes of the holders; earlier ones are served first when units are scarce
   */
  static long[] divide(long pot, long[] demands, double[] weights, int[] order) {
    double total = 0;
    for (long demand : demands) {
      total += demand;
    }
    return total <= pot
        ? satisfied(pot - (long) total, demands, weights, order)
        : scarce(pot, total, demands, order);
  }

  private static long[] satisfied(long spare, long[] demands, double[] weights, int[] order) {
    long[] shares = demands.clone();
    double totalWeight = 0;
    for (double weight : weights) {
      totalWeight += weight;
    }
    long left = spare;
    for (int i = 0; i < shares.length && totalWeight > 0; i++) {
      long extra = Math.min(left, (long) Math.floor(spare * (weights[i] / totalWeight)));
      shares[i] += extra;
      left -= extra;
    }
    for (int i = 0; i < order.length && left > 0; i++) {
      shares[order[i]]++;
      left--;
    }
    return shares;
  }

  private static long[] scarce(long pot, double total, long[] demands, int[] order) {
    long[] shares = new long[demands.length];
    long left = pot;
    for (int i = 0; i < shares.length; i++) {
      shares[i] = Math.min(left, (long) Math.floor(pot * (demands[i] / total)));
      left -= shares[i];
    }
    for (int i : order) {
      if (shares[i] == 0 && demands[i] > 0) {
        int largest = largest(shares);
        if (left > 0) {
          left--;
          shares[i] = 1;
        } else if (shares[largest] > 1) {
          shares[largest]--;
          shares[i] = 1;
        }
      }
    }
    for (int k = 0; k < order.length && left > 0; k++) {
      if (shares[order[k]] < demands[order[k]]) {
        shares[order[k]]++;
        left--;
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
