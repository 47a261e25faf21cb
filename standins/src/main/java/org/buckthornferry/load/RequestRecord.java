package org.buckthornferry.load;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.List;
import java.util.Set;
import org.buckthornferry.admission.Tier;
import org.buckthornferry.config.ServiceKind;
import org.buckthornferry.error.ErrorKind;

/**
 * The whole life of one request, as its caller saw it.
 *
 * @param contentHash identifies the request in the logs of the stand-ins
 * @param intendedMillis the wall-clock time of the intended start
 * @param intendedOffsetMicros the intended start since the start of the scenario
 * @param latencyMicros the time from the intended start to the end
 * @param firstTokenMicros the time from the intended start to the first token; 0 when none came
 * @param tokens the tokens that arrived
 * @param mismatches what was wrong with responses that claimed success
 */
public record RequestRecord(
    String id,
    String className,
    ServiceKind kind,
    Tier tier,
    String customer,
    String path,
    String idempotencyKey,
    boolean idempotent,
    String contentHash,
    String phase,
    boolean measured,
    long intendedMillis,
    long intendedOffsetMicros,
    long deadlineMillis,
    long promptTokens,
    long maxTokens,
    Outcome outcome,
    long latencyMicros,
    long firstTokenMicros,
    long tokens,
    List<String> mismatches,
    List<AttemptRecord> attempts) {
  private static final long MICROS_PER_MILLI = 1_000;

  /** After these answers the repeat of an idempotent request is a new request. */
  private static final Set<String> FAILED_DISPATCHES =
      Set.of(
          ErrorKind.ENDPOINT_FAILED.name(),
          ErrorKind.TRUNCATED_ANSWER.name(),
          ErrorKind.DEADLINE_EXCEEDED.name());

  /** Copies the lists. */
  public RequestRecord {
    mismatches = List.copyOf(mismatches);
    attempts = List.copyOf(attempts);
  }

  /** Returns whether the request was finished in full and before its deadline. */
  @JsonIgnore
  public boolean isGood() {
    return outcome == Outcome.COMPLETE && latencyMicros <= deadlineMillis * MICROS_PER_MILLI;
  }

  /** Returns how often the caller was told that a dispatch of this idempotent request failed. */
  @JsonIgnore
  public int failedDispatches() {
    if (!idempotent) {
      return 0;
    }
    return (int) attempts.stream().filter(a -> FAILED_DISPATCHES.contains(a.errorKind())).count();
  }

  /** Returns the prompt tokens plus the tokens to generate. */
  @JsonIgnore
  public long costTokens() {
    return promptTokens + maxTokens;
  }
}
