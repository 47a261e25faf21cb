package org.buckthornferry.relay;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.buckthornferry.catalog.Endpoint;
import org.buckthornferry.fleet.EndpointList;
import org.buckthornferry.http.Addresses;
import org.buckthornferry.http.HttpCall;
import org.buckthornferry.http.HttpConnector;
import org.buckthornferry.http.HttpExchange;
import org.buckthornferry.http.HttpHandler;
import org.buckthornferry.http.HttpResponseListener;
import org.buckthornferry.util.Scheduler;
import org.jboss.logging.Logger;

/**
 * Passes requests of instances that are cut off from endpoints on to these, and the responses back
 * as they arrive. Each request is sent at most once, to the endpoint that the other instance chose,
 * and ends when that instance closes its connection.
 */
final class ForwardHandler implements HttpHandler {
  private static final Logger LOG = Logger.getLogger(ForwardHandler.class);

  /** The maximum number of requests at a time; more would delay the own callers. */
  private static final int MAX_IN_PROGRESS = 512;

  private static final int BAD_GATEWAY = 502;

  private final RelayEnvironment environment;
  private final Function<String, Optional<ServiceQueue>> queueOfService;
  private int inProgress;
  private boolean isClosed;

  /**
   * Creates a handler.
   *
   * @param queueOfService returns the queue of a service by its name
   */
  ForwardHandler(
      RelayEnvironment environment, Function<String, Optional<ServiceQueue>> queueOfService) {
    this.environment = environment;
    this.queueOfService = queueOfService;
  }

  /** Refuses all further requests; those in progress continue. */
  void close() {
    isClosed = true;
  }

  int inProgress() {
    return inProgress;
  }

  @Override
  public void handle(HttpExchange exchange) {
    Optional<Endpoint> endpoint = endpoint(exchange);
    Optional<ServiceQueue> queue =
        endpoint.flatMap(known -> queueOfService.apply(known.serviceName()));
    if (endpoint.isEmpty() || queue.isEmpty()) {
      refuse(exchange, ForwardFailure.Kind.ENDPOINT_UNUSABLE);
    } else if (isClosed || inProgress >= MAX_IN_PROGRESS || queue.get().isCutOff()) {
      refuse(exchange, ForwardFailure.Kind.REFUSED);
    } else if (!queue.get().acceptsRequests(endpoint.get())) {
      refuse(exchange, ForwardFailure.Kind.ENDPOINT_UNUSABLE);
    } else {
      new Forwarding(exchange, endpoint.get(), queue.get()).start();
    }
  }

  /** Returns the endpoint that a request names, if this instance knows its process. */
  private Optional<Endpoint> endpoint(HttpExchange exchange) {
    String id = exchange.header(ForwardFields.ENDPOINT).orElse("");
    String started = exchange.header(ForwardFields.STARTED).orElse("");
    return environment.blackboard().read(EndpointList.ENTRY).endpoints().stream()
        .filter(endpoint -> endpoint.id().equals(id))
        .filter(endpoint -> String.valueOf(endpoint.startedEpochMillis()).equals(started))
        .findFirst();
  }

  private void refuse(HttpExchange exchange, ForwardFailure.Kind kind) {
    environment.metrics().forwardingRefused.inc();
    LOG.infof(
        "forward.refused endpoint=%s id=%s kind=%s",
        exchange.header(ForwardFields.ENDPOINT).orElse("-"),
        exchange.header(ForwardFields.REQUEST_ID).orElse("-"),
        kind);
    respond(exchange, kind);
  }

  private static void respond(HttpExchange exchange, ForwardFailure.Kind kind) {
    exchange.respond(BAD_GATEWAY, Map.of(ForwardFields.FAILURE, kind.name()), new byte[0]);
  }

  /** One request that is being passed on. */
  private final class Forwarding implements HttpResponseListener {
    private final HttpExchange exchange;
    private final Endpoint endpoint;
    private final ServiceQueue queue;
    private final String requestId;
    private HttpCall call;
    private Scheduler.Task timeout = Scheduler.Task.NONE;
    private boolean hasBegun;
    private boolean hasEnded;

    private Forwarding(HttpExchange exchange, Endpoint endpoint, ServiceQueue queue) {
      this.exchange = exchange;
      this.endpoint = endpoint;
      this.queue = queue;
      this.requestId = exchange.header(ForwardFields.REQUEST_ID).orElse("");
    }

    private void start() {
      inProgress++;
      environment.metrics().forwardedForOthers.inc();
      HttpHeaders headers = new DefaultHttpHeaders().set(exchange.headers());
      ForwardFields.removeHopFields(headers);
      if (requestId.isEmpty()) {
        headers.set(HttpHeaderNames.HOST, Addresses.format(endpoint.address()));
      }
      call =
          environment
              .connector()
              .send(
                  endpoint.address(),
                  exchange.method(),
                  exchange.rawUri(),
                  headers,
                  exchange.body(),
                  reuse(),
                  this);
      if (hasEnded) {
        return;
      }
      timeout = environment.scheduler().schedule(this::cancel, timeoutMillis());
      exchange.onWritabilityChanged(() -> call.setReading(exchange.isWritable()));
      exchange.onClose(this::cancel);
    }

    private HttpConnector.Reuse reuse() {
      return ForwardFields.constant(
          exchange.header(ForwardFields.REUSE).orElse(""), HttpConnector.Reuse.NONE);
    }

    private long timeoutMillis() {
      try {
        return Long.parseLong(exchange.header(ForwardFields.TIMEOUT_MILLIS).orElse("0"));
      } catch (NumberFormatException e) {
        LOG.warnf("forward.timeout_unreadable id=%s reason=\"%s\"", requestId, e.getMessage());
        return 0;
      }
    }

    /** The other instance has closed its connection, or the response is too late. */
    private void cancel() {
      if (end()) {
        call.cancel();
        exchange.abort();
      }
    }

    private boolean end() {
      boolean isFirst = !hasEnded;
      hasEnded = true;
      timeout.cancel();
      inProgress -= isFirst ? 1 : 0;
      return isFirst;
    }

    @Override
    public String requestId() {
      return requestId;
    }

    @Override
    public boolean matchesRequest(int status, HttpHeaders headers) {
      return requestId.isEmpty()
          ? environment.endpoints().isControlResponse(headers)
          : environment.endpoints().isResponseTo(requestId, headers);
    }

    @Override
    public void onHead(int status, HttpHeaders headers) {
      environment.partQuarantine().onResponse(endpoint);
      queue.onAvailability(endpoint, environment.endpoints().decodeAvailability(status, headers));
      boolean isFramed = HttpConnector.statesLength(headers);
      HttpHeaders returned = new DefaultHttpHeaders().set(headers);
      ForwardFields.removeHopFields(returned);
      if (!isFramed) {
        returned.set(ForwardFields.UNFRAMED, "1");
      }
      hasBegun = true;
      exchange.start(status, returned);
    }

    @Override
    public void onBody(byte[] part) {
      if (!hasEnded) {
        exchange.write(part);
        call.setReading(exchange.isWritable());
      }
    }

    @Override
    public void onEnd() {
      if (end()) {
        exchange.end();
      }
    }

    @Override
    public void onFailure(Throwable cause, boolean mayHaveReachedServer) {
      if (!end()) {
        return;
      }
      LOG.infof(
          "forward.failed id=%s endpoint=%s begun=%s reason=\"%s\"",
          requestId, endpoint.id(), hasBegun, cause);
      if (hasBegun) {
        exchange.abort();
      } else {
        respond(
            exchange,
            mayHaveReachedServer
                ? ForwardFailure.Kind.ENDPOINT_BROKEN
                : ForwardFailure.Kind.ENDPOINT_UNREACHABLE);
      }
    }
  }
}
