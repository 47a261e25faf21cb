package org.buckthornferry.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import org.buckthornferry.catalog.Customer.RateLimit;
import org.junit.jupiter.api.Test;

final class TokenBucketTest {
  private static final RateLimit RATE_LIMIT = new RateLimit(40_000, 60_000, true, 200);
  private static final BucketLimits LIMITS = BucketLimits.forOwner(RATE_LIMIT, 0, 8);
  private final TokenBucket bucket = new TokenBucket(0);

  @Test
  void startsEmptySoThatARestartGrantsNoBurst() {
    assertThat(bucket.tryTake(1, LIMITS, 0)).isFalse();
    assertThat(bucket.takeWithDebt(1, LIMITS, 0)).isEqualTo(0);
    assertThat(bucket.takeWithDebt(1, LIMITS, 0)).isGreaterThan(0L);
  }

  @Test
  void grantsOneRequestThatExceedsTheCapacity() {
    assertThat(bucket.takeWithDebt(500_000, LIMITS, millis(1))).isEqualTo(0);
    assertThat(bucket.takeWithDebt(200, LIMITS, millis(2))).isGreaterThan(0L);
  }

  @Test
  void refillsItsDebtBeforeTheNextRequestIsGranted() {
    assertThat(bucket.takeWithDebt(40_040, LIMITS, millis(1))).isEqualTo(0);
    long waitMillis = bucket.takeWithDebt(200, LIMITS, millis(1));
    // 40,000 tokens at 40,000 tokens per second.
    assertThat(waitMillis).isEqualTo(1_001);
    assertThat(bucket.takeWithDebt(200, LIMITS, millis(1 + waitMillis))).isEqualTo(0);
  }

  @Test
  void tryTakeGrantsOnlyWhatTheBucketHolds() {
    assertThat(bucket.tryTake(60_000, LIMITS, millis(1_000))).isFalse();
    assertThat(bucket.tryTake(40_000, LIMITS, millis(1_000))).isTrue();
  }

  @Test
  void holdsNoMoreThanTheBurst() {
    assertThat(bucket.tryTake(60_001, LIMITS, millis(60_000))).isFalse();
    assertThat(bucket.tryTake(60_000, LIMITS, millis(60_000))).isTrue();
  }

  @Test
  void refundsTheCostOfARequestThatWasNotSent() {
    assertThat(bucket.takeWithDebt(50_000, LIMITS, millis(1))).isEqualTo(0);
    bucket.refund(50_000);
    assertThat(bucket.takeWithDebt(200, LIMITS, millis(1))).isEqualTo(0);
  }

  /**
   * The owner's bucket, all local shares and one request of debt must fit in the rate, burst,
   * overrun and slack of a window.
   */
  @Test
  void allBucketsTogetherStayWithinTheContract() {
    double slack = 190_000;
    double overrun = 0.1;
    BucketLimits ownerLimits = BucketLimits.forOwner(RATE_LIMIT, slack, 8);
    BucketLimits localShare = ownerLimits.localShare(overrun, 8);
    double used =
        8 * ownerLimits.perSecond()
            + ownerLimits.capacity()
            + 8 * (8 * localShare.perSecond() + localShare.capacity());
    double bound = (8 * RATE_LIMIT.perSecond() + RATE_LIMIT.burst()) * (1 + overrun) + slack;
    double largestRequest = 53_000;
    assertThat(used + largestRequest).isAtMost(bound);
  }

  @Test
  void withoutSlackAndOverrunNothingIsGrantedLocally() {
    assertThat(LIMITS.perSecond()).isEqualTo(40_000);
    assertThat(LIMITS.capacity()).isEqualTo(60_000);
    assertThat(LIMITS.localShare(0, 8).capacity()).isEqualTo(0);
  }

  private static long millis(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }
}
