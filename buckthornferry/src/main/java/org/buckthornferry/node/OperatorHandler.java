package org.buckthornferry.node;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectWriter;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.buckthornferry.admission.ShedController;
import org.buckthornferry.config.ConfigSnapshot;
import org.buckthornferry.config.FailureDomainDeclaration;
import org.buckthornferry.config.Json;
import org.buckthornferry.control.Blackboard;
import org.buckthornferry.endpoint.EndpointStates;
import org.buckthornferry.error.ErrorKind;
import org.buckthornferry.error.RequestException;
import org.buckthornferry.http.HttpExchange;
import org.buckthornferry.http.HttpHandler;
import org.buckthornferry.http.ProblemDocument;
import org.buckthornferry.membership.MembershipView;
import org.buckthornferry.rollout.RolloutState;
import org.buckthornferry.util.Sha256;

/** Serves the operators' interface: health, readiness, metrics, status and state dump. */
final class OperatorHandler implements HttpHandler {
  private static final String BEARER = "Bearer ";
  private static final ObjectWriter WRITER =
      Json.MAPPER.copy().disable(SerializationFeature.FAIL_ON_EMPTY_BEANS).writer();

  private final String tokenSha256;
  private final Executor controlThread;
  private final ControlPlane controlPlane;
  private final MetricRegistry metrics;
  private final BooleanSupplier ready;
  private final Supplier<String> instanceId;

  OperatorHandler(
      String tokenSha256,
      Executor controlThread,
      ControlPlane controlPlane,
      MetricRegistry metrics,
      BooleanSupplier ready,
      Supplier<String> instanceId) {
    this.tokenSha256 = tokenSha256;
    this.controlThread = controlThread;
    this.controlPlane = controlPlane;
    this.metrics = metrics;
    this.ready = ready;
    this.instanceId = instanceId;
  }

  @Override
  public void handle(HttpExchange exchange) {
    switch (exchange.path()) {
      case "/health" -> exchange.respondJson(200, "{\"status\":\"alive\"}");
      case "/ready" -> respondReady(exchange);
      case "/metrics" -> {
        authorize(exchange);
        byte[] text = MetricsText.write(metrics).getBytes(StandardCharsets.UTF_8);
        exchange.respond(200, Map.of("Content-Type", "text/plain; version=0.0.4"), text);
      }
      case "/status" -> {
        authorize(exchange);
        controlThread.execute(() -> respondWith(exchange, status()));
      }
      case "/dump" -> {
        authorize(exchange);
        controlThread.execute(() -> respondWith(exchange, controlPlane.dump()));
      }
      default ->
          throw new RequestException(
              ErrorKind.UNKNOWN_ROUTE, "operators have /health /ready /metrics /status /dump");
    }
  }

  private void respondReady(HttpExchange exchange) {
    boolean isReady = ready.getAsBoolean();
    exchange.respondJson(isReady ? 200 : 503, "{\"ready\":" + isReady + "}");
  }

  private void authorize(HttpExchange exchange) {
    String header = exchange.header("Authorization").orElse("");
    String token = header.startsWith(BEARER) ? header.substring(BEARER.length()) : "";
    byte[] given = Sha256.hex(token).getBytes(StandardCharsets.US_ASCII);
    byte[] expected = tokenSha256.getBytes(StandardCharsets.US_ASCII);
    if (!MessageDigest.isEqual(given, expected)) {
      throw new RequestException(ErrorKind.UNAUTHENTICATED, "the operator token is wrong");
    }
  }

  private Map<String, Object> status() {
    Blackboard blackboard = controlPlane.blackboard();
    ConfigSnapshot config = blackboard.read(ConfigSnapshot.ENTRY);
    Map<String, Object> status = new LinkedHashMap<>();
    status.put("instanceId", instanceId.get());
    status.put("ready", ready.getAsBoolean());
    status.put("configRevision", config.revision());
    status.put(
        "drainedDomains",
        config.declarations().failureDomains().stream()
            .filter(FailureDomainDeclaration::drained)
            .map(FailureDomainDeclaration::id)
            .toList());
    status.put("rollouts", blackboard.read(RolloutState.ENTRY));
    status.put("shedLevels", blackboard.read(ShedController.LEVELS));
    status.put("endpoints", blackboard.read(EndpointStates.ENTRY).byEndpoint());
    Map<String, Object> members = new LinkedHashMap<>();
    blackboard
        .read(MembershipView.ENTRY)
        .members()
        .forEach((id, member) -> members.put(id, member.state()));
    status.put("members", members);
    status.put("inFlight", controlPlane.coordinator().inFlight());
    return status;
  }

  private static void respondWith(HttpExchange exchange, Object value) {
    try {
      exchange.respond(
          200, Map.of("Content-Type", "application/json"), WRITER.writeValueAsBytes(value));
    } catch (JsonProcessingException e) {
      ProblemDocument.of(new RequestException(ErrorKind.INTERNAL, "state cannot be written: " + e))
          .sendTo(exchange);
    }
  }
}
