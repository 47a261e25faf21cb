package org.buckthornferry.capacity;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.ToLongFunction;
import org.buckthornferry.peer.Amounts;

/** Computes one division of a budget between the responsive holders. */
final class BudgetDivision {
  /** An increased share exceeds the demand by demand / 8, so that it is increased less often. */
  private static final int HEADROOM_DIVISOR = 8;

  private final List<LedgerHolder> responsive;
  private final int[] order;
  private final Amounts limit;
  private final Amounts reserved;
  private final boolean mayIncrease;

  /**
   * Prepares a division.
   *
   * @param reserved what is reserved for all holders, including unresponsive ones
   */
  BudgetDivision(
      List<LedgerHolder> responsive,
      int[] order,
      Amounts limit,
      Amounts reserved,
      boolean mayIncrease) {
    this.responsive = responsive;
    this.order = order;
    this.limit = limit;
    this.reserved = reserved;
    this.mayIncrease = mayIncrease;
  }

  /** Returns the grants in the order of the holders. */
  List<Amounts> grants() {
    long[] concurrent = divide(Amounts::concurrent);
    long[] prefill = divide(Amounts::prefillTokens);
    long[] decode = divide(Amounts::decodeTokens);
    List<Amounts> grants = new ArrayList<>();
    for (int i = 0; i < responsive.size(); i++) {
      grants.add(new Amounts(concurrent[i], prefill[i], decode[i]));
    }
    return grants;
  }

  private long[] divide(ToLongFunction<Amounts> resource) {
    int count = responsive.size();
    long limitAmount = resource.applyAsLong(limit);
    long[] grants = new long[count];
    if (limitAmount == Amounts.UNLIMITED) {
      Arrays.fill(grants, Amounts.UNLIMITED);
      return grants;
    }
    long[] demands = new long[count];
    double[] weights = new double[count];
    long[] reservedByHolder = new long[count];
    long totalReserved = resource.applyAsLong(reserved);
    // After an unlimited budget, nothing is increased until every reservation is finite.
    boolean finite = totalReserved != Amounts.UNLIMITED;
    long available = finite ? limitAmount - totalReserved : limitAmount;
    long unreserved = mayIncrease && finite ? Math.max(0, available) : 0;
    for (int i = 0; i < count; i++) {
      demands[i] = resource.applyAsLong(responsive.get(i).demand());
      weights[i] = responsive.get(i).weight();
      reservedByHolder[i] = resource.applyAsLong(responsive.get(i).reserved());
      available += finite ? reservedByHolder[i] : 0;
    }
    long[] targetShares =
        finite && totalReserved <= limitAmount && sum(demands) <= available
            ? adjustedShares(resource, demands, reservedByHolder, available)
            : FairShare.divide(Math.max(0, available), demands, weights, order);
    for (int i = 0; i < count; i++) {
      long increase = Math.min(unreserved, Math.max(0, targetShares[i] - reservedByHolder[i]));
      unreserved -= increase;
      grants[i] = Math.min(targetShares[i], reservedByHolder[i] + increase);
      if (finite && totalReserved > limitAmount) {
        // While over budget, a holder may only use what the reservations of the others leave.
        grants[i] =
            Math.min(grants[i], Math.max(0, limitAmount - (totalReserved - reservedByHolder[i])));
      }
    }
    return grants;
  }

  /**
   * Returns shares that satisfy every demand and change the shares of as few holders as possible,
   * because every change costs a message. Capacity without demand stays unreserved at the owner,
   * which can grant it later without first reclaiming it from a holder.
   */
  private long[] adjustedShares(
      ToLongFunction<Amounts> resource, long[] demands, long[] reservedByHolder, long available) {
    long[] shares = new long[demands.length];
    for (int i = 0; i < shares.length; i++) {
      long granted = resource.applyAsLong(responsive.get(i).current().grant());
      shares[i] = Math.min(granted, reservedByHolder[i]);
    }
    long unreserved = available - sum(shares);
    for (int i : order) {
      if (demands[i] <= shares[i]) {
        continue;
      }
      long desiredIncrease = demands[i] - shares[i] + 1 + demands[i] / HEADROOM_DIVISOR;
      long increase = Math.max(0, Math.min(desiredIncrease, unreserved));
      shares[i] += increase;
      unreserved -= increase;
      while (shares[i] < demands[i]) {
        int largestSurplus = largestSurplus(shares, demands);
        long surplus = shares[largestSurplus] - demands[largestSurplus];
        if (surplus <= 0) {
          break;
        }
        long moved = Math.min(demands[i] - shares[i], (surplus + 1) / 2);
        shares[largestSurplus] -= moved;
        shares[i] += moved;
      }
    }
    return shares;
  }

  private static int largestSurplus(long[] shares, long[] demands) {
    int largestSurplus = 0;
    for (int i = 1; i < shares.length; i++) {
      if (shares[i] - demands[i] > shares[largestSurplus] - demands[largestSurplus]) {
        largestSurplus = i;
      }
    }
    return largestSurplus;
  }

  private static long sum(long[] amounts) {
    long sum = 0;
    for (long amount : amounts) {
      sum += amount;
    }
    return sum;
  }
}
