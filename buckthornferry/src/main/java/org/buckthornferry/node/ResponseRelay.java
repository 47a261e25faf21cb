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
 * Passes the response of an endpoint to the caller and reports how it ended. Streams are passed on
 * as they arrive; other responses are held until they are whole, so that a truncated or crossed one
 * never looks like a success. Runs on one event loop.
 */
final class ResponseRelay implements HttpResponseListener {
  private static final int MAX_HELD_BYTES = 4 << 20;

  /** A stream above this size is not kept for repeats of its request. */
  private static final int MAX_KEPT_STREAM_BYTES = 256 << 10;

  private static final String EVENT_STREAM = "text/event-stream";

  private final String requestId;
  private final HttpExchange exchange;
  private final MonotonicClock clock;
  private final long dispatchedNanos;
  private final Consumer<EndpointResult> onResult;
  private final EventStreamInspector inspector;
  private final boolean keepStream;
  private final ByteArrayOutputStream held = new ByteArrayOutputStream();
  private HttpCall call;
  private int status;
  private volatile boolean streaming;
  private boolean mismatched;
  private boolean streamTooLarge;
  private boolean connectionLost;
  private boolean refusedNotRun;
  private String contentType = "application/octet-stream";
  private long firstByteNanos;

  ResponseRelay(
      String requestId,
      HttpExchange exchange,
      MonotonicClock clock,
      long firstOffset,
      boolean keepStream,
      Consumer<EndpointResult> onResult) {
    this.requestId = requestId;
    this.exchange = exchange;
    this.clock = clock;
    this.dispatchedNanos = clock.nanoTime();
    this.onResult = onResult;
    this.keepStream = keepStream;
    this.inspector = new EventStreamInspector(firstOffset);
  }

  /** Connects the call, so that a slow caller pauses the endpoint's stream. */
  void attach(HttpCall newCall) {
    call = newCall;
    exchange.onWritabilityChanged(() -> newCall.setReading(exchange.isWritable()));
  }

  @Override
  public void onHead(int newStatus, HttpHeaders headers) {
    status = newStatus;
    contentType = headers.get("Content-Type", contentType);
    String answeredId = headers.get("Request-Id");
    mismatched = answeredId != null && !answeredId.equals(requestId);
    refusedNotRun = "true".equalsIgnoreCase(headers.get("Not-Run"));
    streaming = status == 200 && contentType.startsWith(EVENT_STREAM) && !mismatched;
    if (streaming) {
      exchange.start(200, responseHeaders());
    }
  }

  @Override
  public void onBody(byte[] part) {
    if (firstByteNanos == 0) {
      firstByteNanos = clock.nanoTime() - dispatchedNanos;
    }
    if (streaming) {
      inspector.accept(part);
      keep(part);
      exchange.write(part);
      if (!exchange.isWritable() && call != null) {
        call.setReading(false);
      }
    } else if (held.size() + part.length <= MAX_HELD_BYTES) {
      held.writeBytes(part);
    } else {
      mismatched = true;
    }
  }

  @Override
  public void onEnd() {
    if (mismatched) {
      report(EndpointOutcome.TRUNCATED, "the response belongs to another request or is too large");
    } else if (refusedNotRun) {
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

  /** Sends the held response to the caller, or ends the stream. */
  void finish() {
    if (streaming) {
      exchange.end();
    } else {
      exchange.respond(status, responseHeaders(), held.toByteArray());
    }
  }

  private void keep(byte[] part) {
    if (keepStream && !streamTooLarge) {
      streamTooLarge = held.size() + part.length > MAX_KEPT_STREAM_BYTES;
      if (!streamTooLarge) {
        held.writeBytes(part);
      }
    }
  }

  /** Returns whether the caller has received the head of a stream. */
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
            held.toByteArray(),
            !streaming || (keepStream && !streamTooLarge),
            inspector.tokens(),
            firstByteNanos,
            clock.nanoTime() - dispatchedNanos));
  }
}
