package org.buckthornferry.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.buckthornferry.config.Json;
import org.buckthornferry.http.HttpExchange;
import org.buckthornferry.util.MonotonicClock;
import org.jboss.logging.Logger;

/** Stand-in of a model engine over the endpoint protocol. */
final class EngineStandIn implements StandIn {
  private static final Logger LOG = Logger.getLogger(EngineStandIn.class);
  private static final long TICK_MILLIS = 5;
  private static final String STREAMS = "/streams/";

  private final EventLoop loop;
  private final FaultSwitch<EngineFaults> faults;
  private final Engine engine;
  private final String endpointId;
  private ScheduledFuture<?> ticks;

  /**
   * Creates an engine.
   *
   * @param loop the thread that owns the state of the engine
   */
  EngineStandIn(
      EventLoop loop,
      EngineSettings settings,
      MonotonicClock clock,
      LongSupplier wallMillis,
      RandomGenerator random) {
    this.loop = loop;
    this.endpointId = settings.endpointId();
    this.faults =
        new FaultSwitch<>(EngineFaults.class, EngineFaults.none(settings.coldAnnounced()));
    this.engine = new Engine(settings, clock, wallMillis, random, faults);
    faults.onMerge(() -> loop.execute(engine::onFaultsSwitched));
  }

  @Override
  public void onListening(Consumer<Boolean> listener) {
    engine.onAvailability(listener);
  }

  @Override
  public FaultSwitch<EngineFaults> faults() {
    return faults;
  }

  @Override
  public void start() {
    ticks = loop.scheduleAtFixedRate(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
  }

  @Override
  public void stop() {
    ticks.cancel(false);
  }

  @Override
  public void handle(HttpExchange exchange) {
    loop.execute(() -> handleOnLoop(exchange));
  }

  private void tick() {
    try {
      engine.tick();
    } catch (RuntimeException e) {
      LOG.errorf(e, "standin.engine.tick.failed endpoint=%s", endpointId);
    }
  }

  private void handleOnLoop(HttpExchange exchange) {
    try {
      if (exchange.path().startsWith("/admin/")) {
        admin(exchange);
      } else if (engine.isDown()) {
        exchange.abort();
      } else if (exchange.path().startsWith(STREAMS)) {
        stream(exchange);
      } else {
        route(exchange);
      }
    } catch (IllegalArgumentException e) {
      Replies.error(exchange, 400, e.getMessage());
    } catch (RuntimeException e) {
      LOG.errorf(e, "standin.engine.request.failed endpoint=%s", endpointId);
      Replies.error(exchange, 500, "unexpected failure");
    }
  }

  private void admin(HttpExchange exchange) {
    switch (exchange.path()) {
      case "/admin/log" -> Replies.json(exchange, 200, engine.log());
      case "/admin/stats" -> Replies.json(exchange, 200, engine.stats());
      case "/admin/orders" -> Replies.json(exchange, 200, engine.orders());
      default -> Replies.error(exchange, 404, "unknown path");
    }
  }

  private void route(HttpExchange exchange) {
    switch (exchange.method() + " " + exchange.path()) {
      case "GET /load" -> Replies.json(exchange, 200, engine.loadReport());
      case "GET /cache-events" ->
          Replies.json(
              exchange, 200, Map.of("events", engine.cacheEventsAfter(number(exchange, "after"))));
      case "POST /orders" -> order(exchange);
      default -> {
        if (exchange.method().equals("POST")) {
          dispatch(exchange);
        } else {
          Replies.error(exchange, 404, "unknown path");
        }
      }
    }
  }

  private void dispatch(HttpExchange exchange) {
    if (faults.current().hang()) {
      return;
    }
    EngineRequest request = EngineRequest.parse(exchange.body());
    Optional<String> refusal = engine.refusal();
    if (refusal.isPresent()) {
      Replies.notRun(exchange, refusal.get());
      return;
    }
    RunSpec spec =
        RunSpec.of(
            exchange
                .header("Request-Id")
                .orElseThrow(() -> new IllegalArgumentException("Request-Id is missing")),
            exchange.path(),
            exchange.header("Idempotency-Key").orElse(""),
            exchange.header("Endpoint-Fencing").orElse(""),
            request.prompt(),
            exchange.body(),
            request.promptTokens(),
            request.maxTokens());
    StreamSink sink = new StreamSink(exchange, 0, engine.truncatesNext());
    EngineRun run = engine.dispatch(spec, request.prompt(), sink);
    exchange.onClose(() -> loop.execute(() -> engine.detach(run, sink)));
  }

  private void stream(HttpExchange exchange) {
    String rest = exchange.path().substring(STREAMS.length());
    int slash = rest.lastIndexOf('/');
    String requestId = slash < 0 ? rest : rest.substring(0, slash);
    switch (exchange.method() + " " + rest.substring(slash + 1)) {
      case "POST resume" -> resume(exchange, requestId);
      case "POST cancel" ->
          Replies.json(exchange, 200, Map.of("cancelled", engine.cancel(requestId)));
      case "GET kv" -> exportKv(exchange, requestId);
      case "PUT kv" -> importKv(exchange, requestId);
      default -> Replies.error(exchange, 404, "unknown path");
    }
  }

  private void resume(HttpExchange exchange, String requestId) {
    Optional<EngineRun> run = engine.stream(requestId);
    if (run.isEmpty()) {
      Replies.error(exchange, 404, "no stream " + requestId);
      return;
    }
    run.get()
        .listener()
        .ifPresent(
            old -> {
              if (old instanceof StreamSink sink && !run.get().state().isEnded()) {
                sink.replace();
              }
            });
    long fromOffset = number(exchange, "from");
    StreamSink sink = new StreamSink(exchange, fromOffset, false);
    engine.resume(run.get(), fromOffset, sink);
    exchange.onClose(() -> loop.execute(() -> engine.detach(run.get(), sink)));
  }

  private void exportKv(HttpExchange exchange, String requestId) {
    Optional<KvState> state = engine.exportKv(requestId);
    if (state.isPresent()) {
      Replies.json(exchange, 200, state.get());
    } else {
      Replies.error(exchange, 404, "stream " + requestId + " has no KV cache");
    }
  }

  private void importKv(HttpExchange exchange, String requestId) {
    KvState state = parse(exchange.body(), KvState.class);
    if (!state.run().requestId().equals(requestId)) {
      throw new IllegalArgumentException("KV cache belongs to " + state.run().requestId());
    }
    engine.importKv(state);
    Replies.json(exchange, 200, Map.of("imported", true));
  }

  private void order(HttpExchange exchange) {
    Order order = parse(exchange.body(), Order.class);
    long fencing = exchange.header("Endpoint-Fencing").map(Long::parseLong).orElse(0L);
    if (engine.execute(order, fencing)) {
      Replies.json(exchange, 200, Map.of("accepted", true));
    } else {
      Replies.json(
          exchange, 409, Map.of("accepted", false, "highestFencing", engine.highestFencing()));
    }
  }

  private static long number(HttpExchange exchange, String name) {
    return Long.parseLong(exchange.query(name).orElse("0"));
  }

  private static <T> T parse(byte[] body, Class<T> type) {
    try {
      return Json.MAPPER.readValue(body, type);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("malformed body: " + e.getOriginalMessage(), e);
    } catch (IOException e) {
      throw new IllegalArgumentException("malformed body", e);
    }
  }
}
