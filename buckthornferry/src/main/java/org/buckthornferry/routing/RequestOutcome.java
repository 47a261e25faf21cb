package org.buckthornferry.routing;

import org.buckthornferry.util.Checks;

/**
 * The result of a dispatched request, with its token counts and timings.
 *
 * @param prefillTokens the number of prompt tokens, including cached ones
 * @param cachedTokens the number of prompt tokens that the endpoint had cached
 * @param decodeTokens the number of generated tokens
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
    /** The request failed and the endpoint is still running. */
    FAILED(true),
    /** The endpoint's process ended or the connection to it was lost. */
    CRASHED(true),
    /** The endpoint reported that it did not run the request. */
    REFUSED(false),
    /** The caller disconnected and the request was cancelled at the endpoint. */
    CANCELLED(false);

    private final boolean versionEvidence;

    Kind(boolean versionEvidence) {
      this.versionEvidence = versionEvidence;
    }

    /** Returns whether the result counts as evidence about the version of the endpoint. */
    public boolean isVersionEvidence() {
      return versionEvidence;
    }
  }

  /** Checks that the kind is present and the numbers are not negative. */
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

  /** Returns the prompt tokens that the endpoint processed, excluding cached ones. */
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
