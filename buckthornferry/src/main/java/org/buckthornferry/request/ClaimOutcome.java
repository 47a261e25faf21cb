package org.buckthornferry.request;

import org.buckthornferry.util.Checks;

/** What a claim allows the request path to do. */
public sealed interface ClaimOutcome {
  /**
   * The request must now be dispatched once or released. A non-idempotent claim is in the store
   * already.
   */
  record Granted(ClaimToken token) implements ClaimOutcome {
    /** Checks that the token is present. */
    public Granted {
      Checks.notNull(token, "token");
    }
  }

  /**
   * The request runs already and must not be dispatched.
   *
   * @param instanceId the instance that holds the claim; when it is this instance and the stream is
   *     resumable, this instance has taken the claim over, resumes the stream at the endpoint and
   *     reports how it ends
   * @param endpointId the endpoint that runs the request, empty when it is not dispatched yet
   * @param resumable whether the stream can be resumed at the endpoint
   */
  record Running(String instanceId, String endpointId, boolean resumable) implements ClaimOutcome {}

  /** The first response, to be sent to the caller. */
  record Answered(StoredResponse response) implements ClaimOutcome {}

  /**
   * The request may have run and must not be dispatched by this attempt.
   *
   * @param retryAfterMillis 0 when a repeat gets the same outcome; otherwise the owner of the claim
   *     could not be asked, and a repeat with the same key is safe after this delay
   */
  record Unknown(long retryAfterMillis) implements ClaimOutcome {}

  /** The identity was used with other content; this attempt did not run. */
  record KeyReused() implements ClaimOutcome {}

  /** The identity is older than the claim window. */
  record Expired() implements ClaimOutcome {}

  /**
   * The request did not run: no attempt with this identity had been dispatched when this one was
   * made, and this one will not be.
   *
   * @param retryAfterMillis the delay before a repeat, in milliseconds
   */
  record Unavailable(long retryAfterMillis) implements ClaimOutcome {}
}
