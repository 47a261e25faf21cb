package org.buckthornferry.node;

import java.util.concurrent.Executor;
import java.util.function.BiConsumer;
import org.buckthornferry.error.ErrorKind;
import org.buckthornferry.error.RequestException;
import org.buckthornferry.http.HttpExchange;
import org.buckthornferry.http.HttpHandler;
import org.buckthornferry.http.ProblemDocument;
import org.buckthornferry.util.MonotonicClock;

/** Takes the requests of callers to the control thread. */
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

  void useCatalog(RequestCatalog newCatalog) {
    catalog = newCatalog;
  }

  boolean isReady() {
    return accepting && !drained && catalog != null;
  }

  /** Refuses further requests while the failure domain of this instance is drained. */
  void setDrained(boolean newDrained) {
    drained = newDrained;
  }

  /** Refuses every further request. */
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
    controlThread.execute(() -> accept(request, exchange));
  }

  private void accept(CallerRequest request, HttpExchange exchange) {
    try {
      onRequest.accept(request, exchange);
    } catch (RequestException e) {
      ProblemDocument.of(e).sendTo(exchange);
    }
  }
}
