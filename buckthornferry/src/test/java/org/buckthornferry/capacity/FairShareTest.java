package org.buckthornferry.capacity;

import static com.google.common.truth.Truth.assertThat;

import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;

class FairShareTest {
  /** Guards against shares beyond the amount, unused parts of it, and starved holders. */
  @Property(seed = "1", tries = 1_000)
  void sharesUseTheWholeAmountAndStarveNobody(
      @ForAll @IntRange(max = 200) int amount,
      @ForAll @Size(min = 1, max = 12) List<@LongRange(min = 0, max = 50) Long> demandList) {
    long[] demands = demandList.stream().mapToLong(Long::longValue).toArray();
    double[] weights = new double[demands.length];
    Arrays.fill(weights, 1.0);
    int[] order = IntStream.range(0, demands.length).toArray();
    long[] shares = FairShare.divide(amount, demands, weights, order);
    assertThat(Arrays.stream(shares).sum()).isEqualTo(amount);
    long demanding = Arrays.stream(demands).filter(demand -> demand > 0).count();
    for (int i = 0; i < demands.length; i++) {
      assertThat(shares[i]).isAtLeast(0L);
      if (demands[i] > 0 && amount >= demanding) {
        assertThat(shares[i]).isAtLeast(1L);
      }
    }
  }
}
