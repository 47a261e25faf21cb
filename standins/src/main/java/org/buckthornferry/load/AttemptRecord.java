package org.buckthornferry.load;

/**
 * One sending of a request.
 *
 * @param target the address of the entry instance or the endpoint
 * @param startMillis the wall-clock time of the sending
 * @param endMillis the wall-clock time of the end
 * @param status the HTTP status; 0 when no response head arrived
 * @param errorKind the kind in the problem document, or {@code CONNECTION_LOST}, {@code
 *     CONNECT_FAILED}, {@code GAVE_UP}; empty after success
 * @param notRun whether the answer said that the request was not run
 * @param requestId the {@code Request-Id} of the response; empty when absent
 * @param retryAfterMillis the wait that the answer asked for
 */
public record AttemptRecord(
    String target,
    long startMillis,
    long endMillis,
    int status,
    String errorKind,
    boolean notRun,
    String requestId,
    long retryAfterMillis) {}
