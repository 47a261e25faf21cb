package org.buckthornferry.duty;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;
import org.buckthornferry.util.Completions;
import org.buckthornferry.util.MonotonicClock;
import org.buckthornferry.util.Scheduler;
import org.jboss.logging.Logger;

/**
 * Makes the calls of one duty to the platform: reads the token directly before each call, repeats
 * calls with growing delays, logs each failure once and counts. The metrics are {@code
 * duty.<name>.calls}, {@code duty.<name>.rejected} and {@code duty.<name>.age_millis}, the time
 * since the last accepted call, or since this instance became a holder; 0 when it is none.
 */
public final class DutyCalls {
  private static final Logger LOG = Logger.getLogger(DutyCalls.class);

  /** Mean delay before the first repetition, in milliseconds; doubles with each further one. */
  private static final long FIRST_RETRY_MILLIS = 200;

  /** Largest mean delay before a repetition, in milliseconds; a fifth of a report's usual time. */
  private static final long MAX_RETRY_MILLIS = 1_600;

  private final String dutyName;
  private final Scheduler scheduler;
  private final MonotonicClock clock;
  private final RandomGenerator random;
  private final Counter calls;
  private final Counter rejected;
  private final List<DutyHolder> holders = new ArrayList<>();
  private boolean wasHolder;
  private long freshNanos;

  /** Makes one call with a token. */
  @FunctionalInterface
  public interface Call {
    /**
     * Makes the call.
     *
     * @param maySend whether the token is still valid; to be asked directly before the call is sent
     */
    CompletableFuture<DutyReply> make(long fencingToken, BooleanSupplier maySend);
  }

  /** Creates the calls of a duty and registers its metrics. */
  public DutyCalls(
      String dutyName,
      MetricRegistry registry,
      Scheduler scheduler,
      MonotonicClock clock,
      RandomGenerator random) {
    this.dutyName = dutyName;
    this.scheduler = scheduler;
    this.clock = clock;
    this.random = random;
    this.calls = registry.counter("duty." + dutyName + ".calls");
    this.rejected = registry.counter("duty." + dutyName + ".rejected");
    registry.gauge("duty." + dutyName + ".age_millis", () -> (Gauge<Long>) this::ageMillis);
  }

  /** Adds a holder on whose subject the calls act. */
  public void add(DutyHolder holder) {
    holders.add(holder);
  }

  /** Removes a holder that was stopped. */
  public void remove(DutyHolder holder) {
    holders.remove(holder);
  }

  private long ageMillis() {
    boolean isHolder = holders.stream().anyMatch(holder -> holder.fencingToken().isPresent());
    if (isHolder && !wasHolder) {
      freshNanos = clock.nanoTime();
    }
    wasHolder = isHolder;
    return isHolder ? TimeUnit.NANOSECONDS.toMillis(clock.nanoTime() - freshNanos) : 0;
  }

  /** Makes a call once, if this instance may act. The future never fails. */
  public CompletableFuture<DutyReply> callOnce(DutyHolder holder, String what, Call call) {
    CompletableFuture<DutyReply> result = new CompletableFuture<>();
    Optional<Long> token = holder.fencingToken();
    if (token.isEmpty()) {
      result.complete(DutyReply.NOT_SENT);
      return result;
    }
    calls.inc();
    long sentNanos = clock.nanoTime();
    Completions.onComplete(
        call.make(token.get(), () -> holder.fencingToken().equals(token)),
        (known, failure) -> {
          DutyReply reply = failure == null ? known : DutyReply.UNKNOWN;
          if (reply == DutyReply.ACCEPTED) {
            freshNanos = clock.nanoTime();
          } else {
            LOG.infof(
                "duty.call_failed duty=%s subject=%s call=\"%s\" token=%d reply=%s millis=%d",
                dutyName,
                holder.subject().subject(),
                what,
                token.get(),
                reply,
                TimeUnit.NANOSECONDS.toMillis(clock.nanoTime() - sentNanos));
          }
          if (reply.endsToken()) {
            rejected.inc();
          }
          holder.onReply(token.get(), reply);
          result.complete(reply);
        });
    return result;
  }

  /**
   * Makes a call, and repeats it while that may help, this instance may act and the time has not
   * come. Returns the last reply. The future never fails.
   */
  public CompletableFuture<DutyReply> callUntil(
      DutyHolder holder, String what, long untilNanos, Call call) {
    CompletableFuture<DutyReply> result = new CompletableFuture<>();
    repeat(holder, what, untilNanos, FIRST_RETRY_MILLIS, call, result);
    return result;
  }

  private void repeat(
      DutyHolder holder,
      String what,
      long untilNanos,
      long delayMillis,
      Call call,
      CompletableFuture<DutyReply> result) {
    Completions.onComplete(
        callOnce(holder, what, call),
        (reply, failure) -> {
          if (!reply.isRetryable() || untilNanos - clock.nanoTime() <= 0) {
            result.complete(reply);
            return;
          }
          long nextMillis = Math.min(2 * delayMillis, MAX_RETRY_MILLIS);
          scheduler.schedule(
              () -> repeat(holder, what, untilNanos, nextMillis, call, result),
              (long) (delayMillis * (0.5 + random.nextDouble())));
        });
  }
}
