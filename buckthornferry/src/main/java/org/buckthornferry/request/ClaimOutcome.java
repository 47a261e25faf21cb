package org.buckthornferry.request;

import org.buckthornferry.util.Checks;

/** The result of a claim, which determines how the request path proceeds. */
public sealed interface ClaimOutcome {
  /**
   * The claim was granted: the request must be dispatched once or released. A non-idempotent claim
   * is already committed to the store.
   */
  record Granted(ClaimToken token) implements ClaimOutcome {
    /** Validates that the token is present. */
    public Granted {
      Checks.notNull(token, "token");
    }
  }

  /**
   * The request is already running and must not be dispatched.
   *
   * @param instanceId the instance that holds the claim; when it is this instance and the stream is
   *     resumable, this instance has taken over the claim: it resumes the stream at the endpoint
   *     and reports its outcome
   * @param endpointId the endpoint that runs the request, empty when it is not dispatched yet
   * @param resumable whether the stream can be resumed at the endpoint
   */
  record Running(String instanceId, String endpointId, boolean resumable) implements ClaimOutcome {}

  /** The request has completed; {@code response} is sent to the caller. */
  record Answered(StoredResponse response) implements ClaimOutcome {}

  /**
   * The request may have run and must not be dispatched by this attempt.
   *
   * @param retryAfterMillis 0 when a retry gets the same outcome; otherwise the owner of the claim
   *     could not decide, and a retry with the same key is safe after this delay
   */
  record Unknown(long retryAfterMillis) implements ClaimOutcome {}

  /** The identity was used with different content; this attempt did not run. */
  record KeyReused() implements ClaimOutcome {}

  /** The identity is older than the claim window. */
  record Expired() implements ClaimOutcome {}

  /**
   * The request did not run: no attempt with this identity had been dispatched when this one was
   * made, and this one will not be.
   *
   * @param retryAfterMillis the delay before a retry, in milliseconds
   */
  record Unavailable(long retryAfterMillis) implements ClaimOutcome {}
}
