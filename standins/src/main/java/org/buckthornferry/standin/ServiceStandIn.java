package org.buckthornferry.standin;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.buckthornferry.config.Json;
import org.buckthornferry.http.HttpExchange;

/** Stand-in of a plain service that counts each execution. */
final class ServiceStandIn implements StandIn {
  private static final int MAX_LOG_ENTRIES = 100_000;

  private final EventLoop loop;
  private final ServiceSettings settings;
  private final LongSupplier wallMillis;
  private final RandomGenerator random;
  private final Fencing fencing;
  private final Executions executions = new Executions();
  private final Deque<RunLogEntry> log = new ArrayDeque<>();
  private final FaultSwitch<ServiceFaults> faults =
      new FaultSwitch<>(ServiceFaults.class, ServiceFaults.NONE);
  private String version;
  private Answer previousAnswer;
  private int running;
  private long servedOfVersion;
  private long executed;
  private long refused;
  private long dropped;
  private long leavingSinceMillis;
  private long startId;
  private boolean down;
  private Consumer<Boolean> portListener = listen -> {};

  private record Identity(String requestId, String idempotencyKey, String contentHash) {}

  private record Answer(String requestId, String text) {
    void sendTo(HttpExchange exchange) {
      exchange.respond(
          200,
          Map.of("Content-Type", "application/json", "Request-Id", requestId),
          text.getBytes(UTF_8));
    }
  }

  /**
   * Creates a service.
   *
   * @param loop the thread that owns the state of the service
   */
  ServiceStandIn(
      EventLoop loop, ServiceSettings settings, LongSupplier wallMillis, RandomGenerator random) {
    this.loop = loop;
    this.settings = settings;
    this.wallMillis = wallMillis;
    this.random = random;
    this.version = settings.version();
    this.startId = wallMillis.getAsLong();
    this.fencing = new Fencing(settings.checksFencing());
    this.previousAnswer = answer(new Identity("none", "", "none"), 1);
    faults.onMerge(() -> loop.execute(this::onFaultsSwitched));
  }

  @Override
  public FaultSwitch<ServiceFaults> faults() {
    return faults;
  }

  @Override
  public void handle(HttpExchange exchange) {
    loop.execute(() -> handleOnLoop(exchange));
  }

  @Override
  public void onListening(Consumer<Boolean> listener) {
    portListener = listener;
  }

  private void handleOnLoop(HttpExchange exchange) {
    try {
      route(exchange);
    } catch (IllegalArgumentException e) {
      Replies.error(exchange, 400, e.getMessage());
    }
  }

  private void route(HttpExchange exchange) {
    switch (exchange.method() + " " + exchange.path()) {
      case "GET /executions" -> Replies.json(exchange, 200, executions.snapshot());
      case "GET /admin/log" -> Replies.json(exchange, 200, endpointLog());
      case "GET /admin/stats" -> Replies.json(exchange, 200, new ServiceStats(executed, refused));
      case "GET /load" -> Replies.json(exchange, 200, loadReport());
      case "POST /orders" -> order(exchange);
      default -> request(exchange);
    }
  }

  private void request(HttpExchange exchange) {
    ServiceFaults active = faults.current();
    if (down || happens(active.dropBeforeRunShare())) {
      exchange.abort();
    } else if (running >= settings.maxConcurrent() || happens(active.refuseShare())) {
      refused++;
      Replies.notRun(exchange, "refused before the run");
    } else {
      run(exchange, active);
    }
  }

  private void run(HttpExchange exchange, ServiceFaults active) {
    running++;
    VersionFault fault = active.versionFault();
    boolean faulty = fault.shows(version, exchange.path(), servedOfVersion, running);
    servedOfVersion++;
    double factor = faulty ? fault.slowFactor() : 1;
    long millis = (long) (settings.delayMillis() * factor) + active.extraDelayMillis();
    long startMillis = wallMillis.getAsLong();
    boolean failing = faulty && happens(fault.failShare());
    loop.schedule(() -> finish(exchange, startMillis, failing), millis, TimeUnit.MILLISECONDS);
  }

  private void finish(HttpExchange exchange, long startMillis, boolean failing) {
    Identity identity = identity(exchange);
    final int number =
        executions.count(identity.requestId, identity.idempotencyKey, identity.contentHash);
    addToLog(exchange, identity, startMillis, failing);
    executed++;
    running--;
    if (failing) {
      Replies.error(exchange, 500, "version fault");
    } else {
      reply(exchange, answer(identity, number));
    }
  }

  private void reply(HttpExchange exchange, Answer answer) {
    ServiceFaults active = faults.current();
    Answer other = previousAnswer;
    previousAnswer = answer;
    if (happens(active.dropAfterRunShare())) {
      exchange.abort();
    } else if (happens(active.truncatedShare())) {
      exchange.start(200, Map.of("Content-Type", "application/json"));
      exchange.write(answer.text.substring(0, answer.text.length() / 2).getBytes(UTF_8));
      exchange.abort();
    } else {
      (happens(active.crossedShare()) ? other : answer).sendTo(exchange);
    }
  }

  private void order(HttpExchange exchange) {
    Order order;
    try {
      order = Json.MAPPER.readValue(exchange.body(), Order.class);
    } catch (IOException e) {
      throw new IllegalArgumentException("malformed order: " + e.getMessage(), e);
    }
    long number = exchange.header("Endpoint-Fencing").map(Long::parseLong).orElse(0L);
    boolean accepted = fencing.accept(number);
    if (accepted && order.kind().equals("load-version")) {
      version = order.version();
      servedOfVersion = 0;
    }
    Replies.json(exchange, accepted ? 200 : 409, Map.of("accepted", accepted));
  }

  private Identity identity(HttpExchange exchange) {
    return new Identity(
        exchange.header("Request-Id").orElse(""),
        exchange.header("Idempotency-Key").orElse(""),
        PromptText.hash(new String(exchange.body(), UTF_8)));
  }

  private void addToLog(
      HttpExchange exchange, Identity identity, long startMillis, boolean failing) {
    log.addLast(
        new RunLogEntry(
            "dispatch",
            identity.requestId,
            exchange.path(),
            identity.idempotencyKey,
            identity.contentHash,
            1,
            0,
            1,
            1,
            version,
            false,
            running,
            exchange.header("Endpoint-Fencing").orElse(""),
            startMillis,
            wallMillis.getAsLong(),
            failing ? RunState.FAILED.label() : RunState.DONE.label()));
    if (log.size() > MAX_LOG_ENTRIES) {
      log.removeFirst();
      dropped++;
    }
  }

  private EndpointLog endpointLog() {
    return new EndpointLog(
        settings.endpointId(),
        settings.failureDomain(),
        0,
        leavingSinceMillis,
        dropped,
        List.copyOf(log));
  }

  private LoadReport loadReport() {
    return new LoadReport(
        running, 0, 0, false, faults.current().leaving(), version, 0, startId, executed, 0);
  }

  private void onFaultsSwitched() {
    long downMillis = faults.current().downMillis();
    if (downMillis > 0) {
      faults.update(ServiceFaults::withoutTriggers);
      goDown(downMillis);
    }
    if (!faults.current().leaving()) {
      leavingSinceMillis = 0;
    } else if (leavingSinceMillis == 0) {
      leavingSinceMillis = wallMillis.getAsLong();
    }
  }

  private void goDown(long downMillis) {
    down = true;
    portListener.accept(false);
    loop.schedule(this::comeBack, downMillis, TimeUnit.MILLISECONDS);
  }

  private void comeBack() {
    down = false;
    startId = wallMillis.getAsLong();
    portListener.accept(true);
  }

  private boolean happens(double share) {
    return share > 0 && random.nextDouble() < share;
  }

  private static Answer answer(Identity identity, int executionNumber) {
    Map<String, Object> answer = new LinkedHashMap<>();
    answer.put("requestId", identity.requestId);
    answer.put("executionNumber", executionNumber);
    answer.put("result", identity.contentHash);
    try {
      return new Answer(identity.requestId, Json.MAPPER.writeValueAsString(answer));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }
}
