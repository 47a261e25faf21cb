package org.buckthornferry.node;

import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Executor;
import org.buckthornferry.config.EndpointDeclaration;
import org.buckthornferry.error.ErrorKind;
import org.buckthornferry.error.RequestException;
import org.buckthornferry.http.Addresses;
import org.buckthornferry.http.HttpCall;
import org.buckthornferry.http.HttpConnector;
import org.buckthornferry.http.HttpExchange;
import org.buckthornferry.http.ProblemDocument;
import org.buckthornferry.util.MonotonicClock;

/** One request from its arrival to the end of its response. Used only on the control thread. */
final class RequestFlow {
  private final CallerRequest request;
  private final HttpExchange exchange;
  private final HttpConnector connector;
  private final MonotonicClock clock;
  private final Executor controlThread;
  private final EndpointSelection selection;
  private HttpCall call;

  RequestFlow(
      CallerRequest request,
      HttpExchange exchange,
      HttpConnector connector,
      MonotonicClock clock,
      Executor controlThread,
      EndpointSelection selection) {
    this.request = request;
    this.exchange = exchange;
    this.connector = connector;
    this.clock = clock;
    this.controlThread = controlThread;
    this.selection = selection;
  }

  void begin() {
    exchange.onClose(() -> controlThread.execute(this::callerClosed));
    EndpointDeclaration endpoint =
        selection
            .choose(request.target().service())
            .orElseThrow(
                () -> new RequestException(ErrorKind.NO_ENDPOINT, "no endpoint is available"));
    dispatch(endpoint);
  }

  void refuse(RequestException refusal) {
    ProblemDocument.of(refusal).sendTo(exchange);
  }

  private void dispatch(EndpointDeclaration endpoint) {
    selection.started(endpoint.id());
    InetSocketAddress address = Addresses.parse(endpoint.address());
    ResponseRelay[] relay = new ResponseRelay[1];
    relay[0] =
        new ResponseRelay(
            request.requestId(),
            exchange,
            clock,
            0,
            result -> controlThread.execute(() -> ended(endpoint, relay[0], result)));
    call =
        connector.send(
            address,
            "POST",
            request.target().route().path(),
            endpointHeaders(),
            request.body(),
            relay[0]);
    relay[0].attach(call);
  }

  private Map<String, String> endpointHeaders() {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("Content-Type", "application/json");
    headers.put("Request-Id", request.requestId());
    request.idempotencyKey().ifPresent(key -> headers.put("Idempotency-Key", key));
    return headers;
  }

  private void ended(EndpointDeclaration endpoint, ResponseRelay relay, EndpointResult result) {
    selection.finished(endpoint.id());
    if (result.outcome() == EndpointOutcome.ANSWERED) {
      relay.finish();
    } else if (result.headSent()) {
      exchange.abort();
    } else {
      refuse(
          new RequestException(
              result.outcome().errorKind().orElse(ErrorKind.INTERNAL), result.detail()));
    }
  }

  private void callerClosed() {
    if (call != null) {
      call.cancel();
    }
  }
}
