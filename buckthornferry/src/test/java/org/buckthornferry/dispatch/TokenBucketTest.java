package org.buckthornferry.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import org.buckthornferry.catalog.Customer.RateLimit;
import org.junit.jupiter.api.Test;

final class TokenBucketTest {
  private static final RateLimit RATE = new RateLimit(40_000, 60_000, true, 200);
  private static final BucketLimits TERMS = BucketLimits.forOwner(RATE, 0, 8);
  private final TokenBucket allowance = new TokenBucket(0);

  @Test
  void beginsEmptySoThatARestartSavesNothingUp() {
    assertThat(allowance.tryTake(1, TERMS, 0)).isFalse();
    assertThat(allowance.takeWithDebt(1, TERMS, 0)).isEqualTo(0);
    assertThat(allowance.takeWithDebt(1, TERMS, 0)).isGreaterThan(0L);
  }

  @Test
  void passesARequestThatIsLargerThanAllItHoldsOnce() {
    assertThat(allowance.takeWithDebt(500_000, TERMS, millis(1))).isEqualTo(0);
    assertThat(allowance.takeWithDebt(200, TERMS, millis(2))).isGreaterThan(0L);
  }

  @Test
  void refillsWhatWasOverdrawnBeforeTheNextRequestPasses() {
    assertThat(allowance.takeWithDebt(40_040, TERMS, millis(1))).isEqualTo(0);
    long waitMillis = allowance.takeWithDebt(200, TERMS, millis(1));
    // 40,000 tokens at 40,000 tokens per second.
    assertThat(waitMillis).isEqualTo(1_001);
    assertThat(allowance.takeWithDebt(200, TERMS, millis(1 + waitMillis))).isEqualTo(0);
  }

  @Test
  void takesOnlyWhatItCoversUnlessOverdrawn() {
    assertThat(allowance.tryTake(60_000, TERMS, millis(1_000))).isFalse();
    assertThat(allowance.tryTake(40_000, TERMS, millis(1_000))).isTrue();
  }

  @Test
  void holdsNoMoreThanTheBurst() {
    assertThat(allowance.tryTake(60_001, TERMS, millis(60_000))).isFalse();
    assertThat(allowance.tryTake(60_000, TERMS, millis(60_000))).isTrue();
  }

  @Test
  void givesBackTheCostOfARequestThatWasNotSent() {
    assertThat(allowance.takeWithDebt(50_000, TERMS, millis(1))).isEqualTo(0);
    allowance.refund(50_000);
    assertThat(allowance.takeWithDebt(200, TERMS, millis(1))).isEqualTo(0);
  }

  /** Rate, overrun and slack of a window bound all requests, whatever the instances do at once. */
  @Test
  void allPartsTogetherStayWithinTheBound() {
    double slack = 190_000;
    double overrun = 0.1;
    BucketLimits common = BucketLimits.forOwner(RATE, slack, 8);
    BucketLimits localShare = common.localShare(overrun, 8);
    double used =
        8 * common.perSecond()
            + common.capacity()
            + 8 * (8 * localShare.perSecond() + localShare.capacity());
    double bound = (8 * RATE.perSecond() + RATE.burst()) * (1 + overrun) + slack;
    double largestRequest = 53_000;
    assertThat(used + largestRequest).isAtMost(bound);
  }

  @Test
  void withoutSlackAndOverrunEverythingIsAsked() {
    assertThat(TERMS.perSecond()).isEqualTo(40_000);
    assertThat(TERMS.capacity()).isEqualTo(60_000);
    assertThat(TERMS.localShare(0, 8).capacity()).isEqualTo(0);
  }

  private static long millis(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }
}
