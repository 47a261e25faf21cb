package org.buckthornferry.capacity;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.ToLongFunction;
import org.buckthornferry.peer.Amounts;

/** One division of a budget between the holders that answer. */
final class Division {
  /** A raised share exceeds the demand by this part of it, so that it is raised less often. */
  private static final int HEADROOM_DIVISOR = 8;

  private final List<LedgerHolder> talking;
  private final int[] order;
  private final Amounts limit;
  private final Amounts reserved;
  private final boolean mayRaise;

  /**
   * Prepares a division.
   *
   * @param reserved what all holders have, those that do not answer included
   */
  Division(
      List<LedgerHolder> talking, int[] order, Amounts limit, Amounts reserved, boolean mayRaise) {
    this.talking = talking;
    this.order = order;
    this.limit = limit;
    this.reserved = reserved;
    this.mayRaise = mayRaise;
  }

  /** Returns the grants in the order of the holders. */
  List<Amounts> grants() {
    long[] concurrent = divide(Amounts::concurrent);
    long[] prefill = divide(Amounts::prefillTokens);
    long[] decode = divide(Amounts::decodeTokens);
    List<Amounts> grants = new ArrayList<>();
    for (int i = 0; i < talking.size(); i++) {
      grants.add(new Amounts(concurrent[i], prefill[i], decode[i]));
    }
    return grants;
  }

  private long[] divide(ToLongFunction<Amounts> resource) {
    int count = talking.size();
    long bound = resource.applyAsLong(limit);
    long[] grants = new long[count];
    if (bound == Amounts.UNLIMITED) {
      Arrays.fill(grants, Amounts.UNLIMITED);
      return grants;
    }
    long[] demands = new long[count];
    double[] weights = new double[count];
    long[] has = new long[count];
    long taken = resource.applyAsLong(reserved);
    // After a bound that was unlimited, nothing is raised until everyone has a finite part.
    boolean finite = taken != Amounts.UNLIMITED;
    long pot = finite ? bound - taken : bound;
    long free = mayRaise && finite ? Math.max(0, pot) : 0;
    for (int i = 0; i < count; i++) {
      demands[i] = resource.applyAsLong(talking.get(i).demand());
      weights[i] = talking.get(i).weight();
      has[i] = resource.applyAsLong(talking.get(i).reserved());
      pot += finite ? has[i] : 0;
    }
    long[] targets =
        finite && taken <= bound && sum(demands) <= pot
            ? adjusted(resource, demands, has, pot)
            : FairShare.divide(Math.max(0, pot), demands, weights, order);
    for (int i = 0; i < count; i++) {
      long raise = Math.min(free, Math.max(0, targets[i] - has[i]));
      free -= raise;
      grants[i] = Math.min(targets[i], has[i] + raise);
      if (finite && taken > bound) {
        // Over the budget a holder may start only what fits beside all that others still have.
        grants[i] = Math.min(grants[i], Math.max(0, bound - (taken - has[i])));
      }
    }
    return grants;
  }

  /**
   * Returns shares that satisfy every demand and differ from the present ones in as few holders as
   * possible, because every change costs a message. What nobody needs stays with the owner, which
   * can give it away without taking it back first.
   */
  private long[] adjusted(ToLongFunction<Amounts> resource, long[] demands, long[] has, long pot) {
    long[] shares = new long[demands.length];
    for (int i = 0; i < shares.length; i++) {
      long granted = resource.applyAsLong(talking.get(i).current().grant());
      shares[i] = Math.min(granted, has[i]);
    }
    long free = pot - sum(shares);
    for (int i : order) {
      if (demands[i] <= shares[i]) {
        continue;
      }
      long wanted = demands[i] - shares[i] + 1 + demands[i] / HEADROOM_DIVISOR;
      long raise = Math.max(0, Math.min(wanted, free));
      shares[i] += raise;
      free -= raise;
      while (shares[i] < demands[i]) {
        int richest = richest(shares, demands);
        long slack = shares[richest] - demands[richest];
        if (slack <= 0) {
          break;
        }
        long moved = Math.min(demands[i] - shares[i], (slack + 1) / 2);
        shares[richest] -= moved;
        shares[i] += moved;
      }
    }
    return shares;
  }

  private static int richest(long[] shares, long[] demands) {
    int richest = 0;
    for (int i = 1; i < shares.length; i++) {
      if (shares[i] - demands[i] > shares[richest] - demands[richest]) {
        richest = i;
      }
    }
    return richest;
  }

  private static long sum(long[] amounts) {
    long sum = 0;
    for (long amount : amounts) {
      sum += amount;
    }
    return sum;
  }
}
