package org.buckthornferry.node;

import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.buckthornferry.http.HttpCall;
import org.buckthornferry.http.HttpExchange;
import org.buckthornferry.http.HttpResponseListener;
import org.buckthornferry.util.MonotonicClock;

/**
 * Forwards the response of an endpoint to the caller and reports how it ended. Streams are
 * forwarded as they arrive. Other responses are buffered until they are complete, so that a
 * truncated response or one for another request is never reported as a success. Runs on one event
 * loop.
 */
final class ResponseRelay implements HttpResponseListener {
  private static final int MAX_BUFFERED_BYTES = 4 << 20;

  /** Larger streams are not recorded for replay to retries of the request. */
  private static final int MAX_RECORDED_STREAM_BYTES = 256 << 10;

  private static final String EVENT_STREAM = "text/event-stream";

  private final String requestId;
  private final HttpExchange exchange;
  private final MonotonicClock clock;
  private final long dispatchedNanos;
  private final Consumer<EndpointResult> onResult;
  private final EventStreamInspector inspector;
  private final boolean recordStream;
  private final ByteArrayOutputStream buffer = new ByteArrayOutputStream();
  private HttpCall call;
  private int status;
  private volatile boolean streaming;
  private boolean unusable;
  private boolean streamTooLarge;
  private boolean connectionLost;
  private boolean notRun;
  private String contentType = "application/octet-stream";
  private long firstByteNanos;

  ResponseRelay(
      String requestId,
      HttpExchange exchange,
      MonotonicClock clock,
      long firstOffset,
      boolean recordStream,
      Consumer<EndpointResult> onResult) {
    this.requestId = requestId;
    this.exchange = exchange;
    this.clock = clock;
    this.dispatchedNanos = clock.nanoTime();
    this.onResult = onResult;
    this.recordStream = recordStream;
    this.inspector = new EventStreamInspector(firstOffset);
  }

  /** Attaches the call for backpressure: a slow caller pauses reading from the endpoint. */
  void attach(HttpCall newCall) {
    call = newCall;
    exchange.onWritabilityChanged(() -> newCall.setReading(exchange.isWritable()));
  }

  @Override
  public String requestId() {
    return requestId;
  }

  @Override
  public void onHead(int newStatus, HttpHeaders headers) {
    status = newStatus;
    contentType = headers.get("Content-Type", contentType);
    String responseRequestId = headers.get("Request-Id");
    unusable = responseRequestId != null && !responseRequestId.equals(requestId);
    streaming = status == 200 && contentType.startsWith(EVENT_STREAM) && !unusable;
    // A refusal without an id may be one of another request.
    notRun =
        !streaming
            && requestId.equals(responseRequestId)
            && "true".equalsIgnoreCase(headers.get("Not-Run"));
    if (streaming) {
      exchange.start(200, responseHeaders());
    }
  }

  @Override
  public void onBody(byte[] chunk) {
    if (firstByteNanos == 0) {
      firstByteNanos = clock.nanoTime() - dispatchedNanos;
    }
    if (streaming) {
      inspector.accept(chunk);
      recordChunk(chunk);
      exchange.write(chunk);
      if (!exchange.isWritable() && call != null) {
        call.setReading(false);
      }
    } else if (buffer.size() + chunk.length <= MAX_BUFFERED_BYTES) {
      buffer.writeBytes(chunk);
    } else {
      unusable = true;
    }
  }

  @Override
  public void onEnd() {
    if (unusable) {
      report(EndpointOutcome.TRUNCATED, "the response belongs to another request or is too large");
    } else if (notRun) {
      report(EndpointOutcome.NOT_RUN, "the endpoint refused the request");
    } else if (streaming && !inspector.isComplete()) {
      report(EndpointOutcome.TRUNCATED, "the stream ended before its last event");
    } else if (status >= 500) {
      report(EndpointOutcome.FAILED, "the endpoint answered " + status);
    } else {
      report(EndpointOutcome.ANSWERED, "");
    }
  }

  @Override
  public void onFailure(Throwable cause, boolean bytesSent) {
    connectionLost = true;
    report(
        bytesSent ? EndpointOutcome.FAILED : EndpointOutcome.NOT_RUN,
        String.valueOf(cause.getMessage()));
  }

  /** Sends the buffered response to the caller, or ends the stream. */
  void finish() {
    if (streaming) {
      exchange.end();
    } else {
      exchange.respond(status, responseHeaders(), buffer.toByteArray());
    }
  }

  private void recordChunk(byte[] chunk) {
    if (recordStream && !streamTooLarge) {
      streamTooLarge = buffer.size() + chunk.length > MAX_RECORDED_STREAM_BYTES;
      if (!streamTooLarge) {
        buffer.writeBytes(chunk);
      }
    }
  }

  /** Returns whether the head of a stream was sent to the caller. */
  boolean isStreaming() {
    return streaming;
  }

  private Map<String, String> responseHeaders() {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("Content-Type", contentType);
    headers.put("Request-Id", requestId);
    headers.put("Cache-Control", "no-store");
    return headers;
  }

  private void report(EndpointOutcome outcome, String detail) {
    onResult.accept(
        new EndpointResult(
            outcome,
            detail,
            streaming,
            connectionLost,
            status,
            contentType,
            buffer.toByteArray(),
            !streaming || (recordStream && !streamTooLarge),
            inspector.tokens(),
            firstByteNanos,
            clock.nanoTime() - dispatchedNanos));
  }
}
