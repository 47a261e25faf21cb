package org.buckthornferry.node;

import java.util.concurrent.Executor;
import java.util.function.BiConsumer;
import org.buckthornferry.error.ErrorKind;
import org.buckthornferry.error.RequestException;
import org.buckthornferry.http.HttpExchange;
import org.buckthornferry.http.HttpHandler;
import org.buckthornferry.http.ProblemDocument;
import org.buckthornferry.util.MonotonicClock;

/** Parses callers' requests and passes them to the control thread. */
final class CallerHandler implements HttpHandler {
  private static final long NOT_READY_RETRY_MILLIS = 1_000;

  private final MonotonicClock clock;
  private final Executor controlThread;
  private final BiConsumer<CallerRequest, HttpExchange> onRequest;
  private volatile RequestCatalog catalog;
  private volatile boolean accepting = true;
  private volatile boolean drained;

  CallerHandler(
      MonotonicClock clock,
      Executor controlThread,
      BiConsumer<CallerRequest, HttpExchange> onRequest) {
    this.clock = clock;
    this.controlThread = controlThread;
    this.onRequest = onRequest;
  }

  void setCatalog(RequestCatalog newCatalog) {
    catalog = newCatalog;
  }

  boolean isReady() {
    return accepting && !drained && catalog != null;
  }

  /** Sets whether the failure domain is drained; requests are refused while it is. */
  void setDrained(boolean newDrained) {
    drained = newDrained;
  }

  /** Refuses all requests from now on. */
  void stopAccepting() {
    accepting = false;
  }

  @Override
  public void handle(HttpExchange exchange) {
    if (!accepting || drained) {
      throw new RequestException(
          ErrorKind.SHUTTING_DOWN,
          drained ? "this failure domain is drained" : "this instance is shutting down");
    }
    RequestCatalog current = catalog;
    if (current == null) {
      throw new RequestException(
          ErrorKind.NOT_READY, "no configuration is in force yet", NOT_READY_RETRY_MILLIS);
    }
    CallerRequest request = CallerRequestParser.parse(exchange, current, clock.nanoTime());
    controlThread.execute(() -> process(request, exchange));
  }

  private void process(CallerRequest request, HttpExchange exchange) {
    try {
      onRequest.accept(request, exchange);
    } catch (RequestException e) {
      ProblemDocument.of(e).sendTo(exchange);
    }
  }
}
