package org.buckthornferry.standin;

/**
 * One line of the request log of an engine or a plain service.
 *
 * @param kind {@code dispatch} for a new request, {@code import} for a moved stream
 * @param requestId the {@code Request-Id} header
 * @param idempotencyKey the {@code Idempotency-Key} header; empty when absent
 * @param promptHash identifies the content of the request
 * @param promptTokens the prompt tokens of the request
 * @param cachedTokens the prompt tokens that needed no prefill
 * @param prefillTokens the prompt tokens that were prefilled
 * @param generatedTokens the tokens that were generated
 * @param version the version that served
 * @param cold whether the endpoint was in cold start when the request arrived
 * @param running the requests in the endpoint when the request arrived, with this one; in cold
 *     start only those that arrived since it began
 * @param fencing the {@code Endpoint-Fencing} header; empty when absent
 * @param startMillis the wall-clock time of arrival
 * @param endMillis the wall-clock time of the end; 0 while it runs
 * @param outcome the state of the run, such as {@code done} or {@code crashed}
 */
public record RunLogEntry(
    String kind,
    String requestId,
    String path,
    String idempotencyKey,
    String promptHash,
    long promptTokens,
    long cachedTokens,
    long prefillTokens,
    long generatedTokens,
    String version,
    boolean cold,
    int running,
    String fencing,
    long startMillis,
    long endMillis,
    String outcome) {

  /** What is known of a run when it arrives. */
  record Start(String kind, String version, boolean cold, int running, long startMillis) {}

  /** What has become of a run. */
  record Progress(
      String outcome,
      long cachedTokens,
      long prefillTokens,
      long generatedTokens,
      long endMillis) {}

  static RunLogEntry of(RunSpec spec, Start start, Progress progress) {
    return new RunLogEntry(
        start.kind,
        spec.requestId(),
        spec.path(),
        spec.idempotencyKey(),
        spec.promptHash(),
        spec.promptTokens(),
        progress.cachedTokens,
        progress.prefillTokens,
        progress.generatedTokens,
        start.version,
        start.cold,
        start.running,
        spec.fencing(),
        start.startMillis,
        progress.endMillis,
        progress.outcome);
  }
}
