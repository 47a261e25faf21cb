package org.buckthornferry.node;

import com.codahale.metrics.MetricRegistry;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.buckthornferry.config.ConfigSnapshot;
import org.buckthornferry.config.EndpointDeclaration;
import org.buckthornferry.config.ServiceDeclaration;
import org.buckthornferry.control.Blackboard;
import org.buckthornferry.control.Controller;
import org.buckthornferry.error.ErrorKind;
import org.buckthornferry.error.RequestException;
import org.buckthornferry.http.Addresses;
import org.buckthornferry.http.HttpCall;
import org.buckthornferry.http.HttpConnector;
import org.buckthornferry.http.HttpExchange;
import org.buckthornferry.http.ProblemDocument;
import org.buckthornferry.request.ClaimController;
import org.buckthornferry.request.ClaimOutcome;
import org.buckthornferry.request.StoredResponse;
import org.buckthornferry.routing.Dispatcher;
import org.buckthornferry.routing.PendingRequest;
import org.buckthornferry.routing.RequestOutcome;
import org.buckthornferry.routing.RoutingController;
import org.buckthornferry.util.MonotonicClock;
import org.jboss.logging.Logger;

/**
 * Drives each request through its claim, its routing, the call to its endpoint and the response to
 * its caller. The claim decides whether a request may run and routing decides where. Used only on
 * the control thread.
 */
final class RequestCoordinator implements Controller, Dispatcher {
  private static final Logger LOG = Logger.getLogger(RequestCoordinator.class);
  private static final long DEADLINE_CHECK_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
  private static final long RUNNING_RETRY_AFTER_MILLIS = 1_000;
  private static final long CANCEL_TIMEOUT_MILLIS = 2_000;
  private static final byte[] NO_BODY = {};

  private final Blackboard blackboard;
  private final ClaimController claims;
  private final HttpConnector connector;
  private final MonotonicClock clock;
  private final Executor controlThread;
  private final MetricRegistry metrics;
  private final Map<String, RequestFlow> flows = new HashMap<>();
  private final Map<String, EndpointDeclaration> endpoints = new HashMap<>();
  private RoutingController routing;
  private long configRevision = -1;
  private long nextDeadlineCheckNanos;

  RequestCoordinator(
      Blackboard blackboard,
      ClaimController claims,
      HttpConnector connector,
      MonotonicClock clock,
      Executor controlThread,
      MetricRegistry metrics) {
    this.blackboard = blackboard;
    this.claims = claims;
    this.connector = connector;
    this.clock = clock;
    this.controlThread = controlThread;
    this.metrics = metrics;
  }

  /** Sets the routing that calls this dispatcher. Called once, before the first request. */
  void setRouting(RoutingController newRouting) {
    routing = newRouting;
  }

  /** Returns the number of requests that have not ended. */
  int inFlight() {
    return flows.size();
  }

  void begin(CallerRequest request, HttpExchange exchange) {
    RequestFlow flow = new RequestFlow(request, exchange);
    exchange.onClose(() -> controlThread.execute(() -> onCallerClosed(flow)));
    if (flow.identity().isEmpty()) {
      // Without an idempotency key a retry cannot be recognized, so no claim is needed.
      // This instance dispatches the request once.
      submit(flow);
      return;
    }
    claims
        .claim(
            flow.identity().get(),
            flow.contentHash(),
            request.target().route().idempotent(),
            clock.nanoTime())
        .thenAccept(outcome -> onClaim(flow, outcome));
  }

  private void onClaim(RequestFlow flow, ClaimOutcome outcome) {
    if (outcome instanceof ClaimOutcome.Granted) {
      submit(flow);
    } else if (outcome instanceof ClaimOutcome.Answered answered) {
      replayResponse(flow, answered.response());
    } else if (outcome instanceof ClaimOutcome.Running running) {
      onRunning(flow, running);
    } else if (outcome instanceof ClaimOutcome.Unknown unknown) {
      failWith(
          flow,
          new RequestException(
              ErrorKind.OUTCOME_UNKNOWN,
              "an earlier attempt may have run",
              unknown.retryAfterMillis()));
    } else if (outcome instanceof ClaimOutcome.KeyReused) {
      failWith(flow, ErrorKind.IDEMPOTENCY_KEY_REUSED, "the key was used with another body");
    } else if (outcome instanceof ClaimOutcome.Expired) {
      failWith(flow, ErrorKind.IDEMPOTENCY_KEY_EXPIRED, "the key is older than the claim window");
    } else if (outcome instanceof ClaimOutcome.Unavailable unavailable) {
      failWith(
          flow,
          new RequestException(
              ErrorKind.STORE_UNAVAILABLE,
              "the claim could not be stored",
              unavailable.retryAfterMillis()));
    }
  }

  private void submit(RequestFlow flow) {
    if (flow.isCallerDisconnected()) {
      releaseClaim(flow);
      flow.setPhase(RequestFlow.Phase.ENDED);
      return;
    }
    flow.setPhase(RequestFlow.Phase.WAITING);
    flows.put(flow.request().requestId(), flow);
    routing.submit(flow.toPending(), clock.nanoTime());
  }

  private void replayResponse(RequestFlow flow, StoredResponse response) {
    flow.setPhase(RequestFlow.Phase.ENDED);
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("Content-Type", response.contentType());
    headers.put("Request-Id", flow.request().requestId());
    headers.put("Idempotency-Replayed", "true");
    count("requests.replayed");
    flow.exchange().respond(response.status(), headers, response.body());
  }

  /** Resumes a stream whose entry instance has ended, or asks the caller to retry later. */
  private void onRunning(RequestFlow flow, ClaimOutcome.Running running) {
    Optional<EndpointDeclaration> endpoint = endpoint(running.endpointId());
    boolean resumesHere =
        running.resumable() && running.instanceId().equals(claims.instanceId()) && flow.isStream();
    if (!resumesHere || endpoint.isEmpty()) {
      failWith(
          flow,
          new RequestException(
              ErrorKind.OUTCOME_UNKNOWN,
              "an earlier attempt is still running",
              RUNNING_RETRY_AFTER_MILLIS));
      return;
    }
    flow.setPhase(RequestFlow.Phase.RUNNING);
    flows.put(flow.request().requestId(), flow);
    count("requests.resumed");
    long from = flow.request().resumeFromOffset().orElse(-1) + 1;
    send(
        flow,
        endpoint.get(),
        "/streams/" + flow.request().requestId() + "/resume?from=" + from,
        NO_BODY,
        from);
  }

  // Dispatcher

  @Override
  public void dispatch(PendingRequest pending, String endpointId) {
    RequestFlow flow = flows.get(pending.requestId());
    Optional<EndpointDeclaration> endpoint = endpoint(endpointId);
    if (flow == null || endpoint.isEmpty()) {
      controlThread.execute(
          () -> notifyRouting(pending.requestId(), RequestOutcome.of(RequestOutcome.Kind.REFUSED)));
      return;
    }
    flow.setPhase(RequestFlow.Phase.RUNNING);
    flow.identity().ifPresent(id -> claims.dispatched(id, endpointId, clock.nanoTime()));
    count("requests.dispatched");
    send(flow, endpoint.get(), flow.request().target().route().path(), flow.request().body(), 0);
  }

  @Override
  public void refuse(PendingRequest pending, RequestException reason) {
    RequestFlow flow = flows.remove(pending.requestId());
    if (flow != null) {
      releaseClaim(flow);
      failWith(flow, reason);
    }
  }

  @Override
  public void move(PendingRequest pending, String endpointId) {
    // A draining endpoint finishes its running requests and accepts no new ones.
    LOG.debugf("request.finishes_at_drain request=%s endpoint=%s", pending.requestId(), endpointId);
  }

  // Calls to endpoints

  private void send(
      RequestFlow flow, EndpointDeclaration endpoint, String path, byte[] body, long firstOffset) {
    InetSocketAddress address = Addresses.parse(endpoint.address());
    ResponseRelay relay =
        new ResponseRelay(
            flow.request().requestId(),
            flow.exchange(),
            clock,
            firstOffset,
            flow.identity().isPresent() && firstOffset == 0,
            result -> controlThread.execute(() -> onResult(flow, result)));
    HttpCall call =
        connector.send(address, "POST", path, endpointHeaders(flow.request()), body, relay);
    relay.attach(call);
    flow.attachCall(address, call, relay);
  }

  private static Map<String, String> endpointHeaders(CallerRequest request) {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("Content-Type", "application/json");
    headers.put("Request-Id", request.requestId());
    request.idempotencyKey().ifPresent(key -> headers.put("Idempotency-Key", key));
    return headers;
  }

  private void onResult(RequestFlow flow, EndpointResult result) {
    if (flow.phase() != RequestFlow.Phase.RUNNING) {
      return;
    }
    if (result.outcome() == EndpointOutcome.NOT_RUN) {
      // Routing dispatches the request elsewhere or refuses it.
      flow.setPhase(RequestFlow.Phase.WAITING);
      notifyRouting(flow.request().requestId(), RequestOutcome.of(RequestOutcome.Kind.REFUSED));
      return;
    }
    flows.remove(flow.request().requestId());
    if (result.outcome() == EndpointOutcome.ANSWERED) {
      onAnswered(flow, result);
    } else {
      onEndpointFailed(flow, result);
    }
    notifyRouting(flow.request().requestId(), routingOutcome(flow, result));
  }

  private void onAnswered(RequestFlow flow, EndpointResult result) {
    flow.setPhase(RequestFlow.Phase.ENDED);
    count("requests.answered");
    flow.identity().ifPresent(id -> claims.answered(id, storedResponse(result), clock.nanoTime()));
    flow.relay().ifPresent(ResponseRelay::finish);
  }

  private static StoredResponse storedResponse(EndpointResult result) {
    if (result.bodyComplete()) {
      return new StoredResponse(result.status(), result.contentType(), result.body());
    }
    ProblemDocument problem =
        ProblemDocument.of(
            new RequestException(
                ErrorKind.OUTCOME_UNKNOWN,
                "the request ran, but its response is too large to be repeated"));
    return new StoredResponse(problem.status(), "application/problem+json", problem.body());
  }

  private void onEndpointFailed(RequestFlow flow, EndpointResult result) {
    flow.identity().ifPresent(id -> claims.failed(id, clock.nanoTime()));
    boolean idempotent = flow.request().target().route().idempotent();
    ErrorKind kind = result.outcome().errorKind().orElse(ErrorKind.INTERNAL);
    fail(
        flow,
        new RequestException(idempotent ? kind : ErrorKind.OUTCOME_UNKNOWN, result.detail()),
        result.headSent());
  }

  private static RequestOutcome routingOutcome(RequestFlow flow, EndpointResult result) {
    RequestOutcome.Kind kind =
        switch (result.outcome()) {
          case ANSWERED -> RequestOutcome.Kind.SUCCEEDED;
          case NOT_RUN -> RequestOutcome.Kind.REFUSED;
          case FAILED ->
              result.connectionLost() ? RequestOutcome.Kind.CRASHED : RequestOutcome.Kind.FAILED;
          case TRUNCATED -> RequestOutcome.Kind.FAILED;
          case TIMED_OUT, CANCELLED -> RequestOutcome.Kind.CANCELLED;
        };
    return new RequestOutcome(
        kind,
        flow.isStream() ? RequestContent.promptTokens(flow.request().body()) : 1,
        0,
        Math.max(1, result.tokens()),
        Math.max(1, result.firstByteNanos()),
        Math.max(1, result.totalNanos()));
  }

  private void notifyRouting(String requestId, RequestOutcome outcome) {
    routing.onCompleted(requestId, outcome, clock.nanoTime());
  }

  // Caller disconnects and deadlines

  private void onCallerClosed(RequestFlow flow) {
    flow.markCallerDisconnected();
    if (flow.phase() == RequestFlow.Phase.WAITING) {
      flows.remove(flow.request().requestId());
      flow.setPhase(RequestFlow.Phase.ENDED);
      routing.onCancelled(flow.request().requestId(), clock.nanoTime());
      releaseClaim(flow);
    } else if (flow.phase() == RequestFlow.Phase.RUNNING && !flow.continuesAfterDisconnect()) {
      stop(flow, EndpointOutcome.CANCELLED);
    }
  }

  /** Cancels a running request and its call to the endpoint. */
  private void stop(RequestFlow flow, EndpointOutcome reason) {
    flows.remove(flow.request().requestId());
    flow.cancelCall();
    cancelAtEndpoint(flow);
    flow.identity().ifPresent(id -> claims.failed(id, clock.nanoTime()));
    count("requests." + reason);
    boolean headSent = flow.relay().map(ResponseRelay::isStreaming).orElse(false);
    flow.fail(
        new RequestException(reason.errorKind().orElse(ErrorKind.INTERNAL), reason.toString()),
        headSent);
    notifyRouting(flow.request().requestId(), RequestOutcome.of(RequestOutcome.Kind.CANCELLED));
  }

  /**
   * Cancels a stream explicitly, because an endpoint may keep a stream whose connection was closed
   * so that it can be resumed.
   */
  private void cancelAtEndpoint(RequestFlow flow) {
    if (flow.isStream()) {
      flow.endpointAddress()
          .ifPresent(
              address ->
                  connector.exchange(
                      address,
                      "POST",
                      "/streams/" + flow.request().requestId() + "/cancel",
                      Map.of(),
                      NO_BODY,
                      CANCEL_TIMEOUT_MILLIS));
    }
  }

  @Override
  public void onTick(long nowNanos) {
    if (nowNanos - nextDeadlineCheckNanos < 0) {
      return;
    }
    nextDeadlineCheckNanos = nowNanos + DEADLINE_CHECK_NANOS;
    for (RequestFlow flow : new ArrayList<>(flows.values())) {
      boolean deadlinePassed = nowNanos - flow.request().deadlineNanos() >= 0;
      if (deadlinePassed
          && flow.phase() == RequestFlow.Phase.RUNNING
          && flow.isCancelledAtDeadline()) {
        stop(flow, EndpointOutcome.TIMED_OUT);
      }
    }
  }

  @Override
  public Map<String, Object> dump() {
    Map<RequestFlow.Phase, Integer> byPhase = new HashMap<>();
    flows.values().forEach(flow -> byPhase.merge(flow.phase(), 1, Integer::sum));
    return Map.of("inFlight", flows.size(), "byPhase", byPhase);
  }

  private void releaseClaim(RequestFlow flow) {
    flow.identity().ifPresent(id -> claims.released(id, clock.nanoTime()));
  }

  private void failWith(RequestFlow flow, ErrorKind kind, String detail) {
    failWith(flow, new RequestException(kind, detail));
  }

  private void failWith(RequestFlow flow, RequestException reason) {
    fail(flow, reason, false);
  }

  private void fail(RequestFlow flow, RequestException reason, boolean headSent) {
    count("requests.failed." + reason.kind());
    flow.fail(reason, headSent);
  }

  private void count(String name) {
    metrics.counter(name).inc();
  }

  private Optional<EndpointDeclaration> endpoint(String endpointId) {
    ConfigSnapshot config = blackboard.read(ConfigSnapshot.ENTRY);
    if (config.revision() != configRevision) {
      configRevision = config.revision();
      endpoints.clear();
      for (ServiceDeclaration service : config.declarations().services()) {
        service.endpoints().forEach(endpoint -> endpoints.put(endpoint.id(), endpoint));
      }
    }
    return Optional.ofNullable(endpoints.get(endpointId));
  }
}
