package org.buckthornferry.standin;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.buckthornferry.http.HttpExchange;

/** Writes the tokens of a run to one caller as server-sent events. Used by one thread. */
final class StreamSink implements RunListener {
  private final HttpExchange exchange;
  private final boolean truncate;
  private long nextOffset;
  private boolean started;
  private boolean truncated;

  /**
   * Creates a sink.
   *
   * @param truncate whether the stream ends in its middle without a done event
   */
  StreamSink(HttpExchange exchange, long fromOffset, boolean truncate) {
    this.exchange = exchange;
    this.nextOffset = fromOffset;
    this.truncate = truncate;
  }

  @Override
  public void onTokens(EngineRun run, long from, long to) {
    if (truncated) {
      return;
    }
    begin(run);
    StringBuilder text = new StringBuilder();
    for (long offset = Math.max(nextOffset, from); offset < to; offset++) {
      text.append("event: token\nid: ")
          .append(offset)
          .append("\ndata: ")
          .append(PromptText.token(run.spec().promptHash(), offset))
          .append("\n\n");
    }
    nextOffset = Math.max(nextOffset, to);
    exchange.write(text.toString().getBytes(StandardCharsets.UTF_8));
    if (truncate && to * 2 >= run.spec().maxTokens()) {
      truncated = true;
      exchange.end();
    }
  }

  @Override
  public void onEnd(EngineRun run) {
    if (truncated) {
      return;
    }
    switch (run.state()) {
      case DONE -> {
        begin(run);
        exchange.write(done(run).getBytes(StandardCharsets.UTF_8));
        exchange.end();
      }
      case FAILED -> fail();
      default -> exchange.abort();
    }
  }

  /** Closes the connection of a caller whose stream another connection has taken over. */
  void replace() {
    exchange.abort();
  }

  private void begin(EngineRun run) {
    if (!started) {
      started = true;
      exchange.start(
          200,
          Map.of(
              "Content-Type",
              "text/event-stream",
              "Cache-Control",
              "no-store",
              "Request-Id",
              run.spec().requestId()));
    }
  }

  private void fail() {
    if (started) {
      exchange.abort();
    } else {
      Replies.error(exchange, 500, "version fault");
    }
  }

  private static String done(EngineRun run) {
    return "event: done\ndata: {\"tokens\":"
        + run.spec().maxTokens()
        + ",\"requestId\":\""
        + run.spec().requestId()
        + "\",\"promptHash\":\""
        + run.spec().promptHash()
        + "\"}\n\n";
  }
}
