package org.buckthornferry.dispatch;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class RetryBudgetTest {
  private static final long WINDOW_MILLIS = 10_000;
  private static final double RATIO = 0.2;
  private static final double SLACK = 56;

  @Test
  void refusesRetriesWithoutRequestsOrSlack() {
    RetryBudget budget = new RetryBudget(WINDOW_MILLIS);
    assertThat(budget.tryTake(RATIO, 0, 8, 0)).isFalse();
  }

  @Test
  void permitsRetriesInProportionToTheRequests() {
    RetryBudget budget = new RetryBudget(WINDOW_MILLIS);
    for (int i = 0; i < 20; i++) {
      budget.onRequest(0);
    }
    int permitted = 0;
    while (budget.tryTake(RATIO, 0, 8, 0)) {
      permitted++;
    }
    assertThat(permitted).isEqualTo(3);
  }

  /** Every request of eight instances needs a retry, and instances restart at random. */
  @Test
  void allInstancesTogetherStayWithinTheBudget() {
    for (int seed = 1; seed <= 40; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      RetryBudget[] budgets = new RetryBudget[8];
      List<Long> requests = new ArrayList<>();
      List<Long> retries = new ArrayList<>();
      for (long now = 0; now < 40_000; now += 5 + random.nextInt(40)) {
        int instance = random.nextInt(budgets.length);
        if (budgets[instance] == null || random.nextInt(400) == 0) {
          budgets[instance] = new RetryBudget(WINDOW_MILLIS);
        }
        requests.add(now);
        budgets[instance].onRequest(millis(now));
        if (budgets[instance].tryTake(RATIO, SLACK, budgets.length, millis(now))) {
          retries.add(now);
        }
      }
      for (long end = 0; end < 40_000; end += 500) {
        double bound = RATIO * inWindow(requests, end) + SLACK;
        assertWithMessage("seed %s end %s", seed, end)
            .that((double) inWindow(retries, end))
            .isAtMost(bound);
      }
    }
  }

  private static long inWindow(List<Long> times, long end) {
    return times.stream().filter(time -> time > end - WINDOW_MILLIS && time <= end).count();
  }

  private static long millis(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }
}
