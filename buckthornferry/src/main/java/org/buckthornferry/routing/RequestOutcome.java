package org.buckthornferry.routing;

import org.buckthornferry.util.Checks;

/**
 * How a dispatched request ended.
 *
 * @param prefillTokens the tokens of the prompt, cached ones included
 * @param cachedTokens the tokens of the prompt that the endpoint had cached
 * @param decodeTokens the generated tokens
 * @param firstTokenNanos the time from dispatch to the first token, or to the answer
 * @param totalNanos the time from dispatch to the end
 */
public record RequestOutcome(
    Kind kind,
    long prefillTokens,
    long cachedTokens,
    long decodeTokens,
    long firstTokenNanos,
    long totalNanos) {
  /** The ways in which a dispatched request can end. */
  public enum Kind {
    /** The whole response arrived. */
    SUCCEEDED(true),
    /** The endpoint failed the request and still runs. */
    FAILED(true),
    /** The endpoint's process ended, or its connection was lost. */
    CRASHED(true),
    /** The endpoint said that it did not run the request. */
    REFUSED(false),
    /** The caller gave up and the request was cancelled at the endpoint. */
    CANCELLED(false);

    private final boolean versionEvidence;

    Kind(boolean versionEvidence) {
      this.versionEvidence = versionEvidence;
    }

    /** Returns whether the result says something about the version that the endpoint runs. */
    public boolean isVersionEvidence() {
      return versionEvidence;
    }
  }

  /** Checks that the values are present and not negative. */
  public RequestOutcome {
    Checks.notNull(kind, "kind");
    Checks.notNegative(prefillTokens, "prefillTokens");
    Checks.notNegative(cachedTokens, "cachedTokens");
    Checks.notNegative(decodeTokens, "decodeTokens");
    Checks.notNegative(firstTokenNanos, "firstTokenNanos");
    Checks.notNegative(totalNanos, "totalNanos");
  }

  /** Returns an outcome without tokens or timings. */
  public static RequestOutcome of(Kind kind) {
    return new RequestOutcome(kind, 0, 0, 0, 0, 0);
  }

  /** Returns the prompt tokens that the endpoint processed. */
  public long computedPrefillTokens() {
    return Math.max(0, prefillTokens - cachedTokens);
  }

  /** Returns the time per generated token, or 0 when it was not measured. */
  public double decodeNanosPerToken() {
    boolean measured = decodeTokens > 0 && totalNanos > firstTokenNanos;
    return measured ? (double) (totalNanos - firstTokenNanos) / decodeTokens : 0;
  }

  /** Returns the time per processed prompt token, or 0 when it was not measured. */
  public double prefillNanosPerToken() {
    long computed = computedPrefillTokens();
    return computed > 0 && firstTokenNanos > 0 ? (double) firstTokenNanos / computed : 0;
  }
}
