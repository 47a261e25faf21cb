package org.buckthornferry.load;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.List;
import org.buckthornferry.admission.Tier;
import org.buckthornferry.config.ServiceKind;

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

  /** Returns the prompt tokens plus the tokens to generate. */
  @JsonIgnore
  public long costTokens() {
    return promptTokens + maxTokens;
  }
}
