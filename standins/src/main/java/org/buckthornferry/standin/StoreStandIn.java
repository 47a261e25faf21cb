package org.buckthornferry.standin;

import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.buckthornferry.http.HttpExchange;
import org.buckthornferry.store.InMemoryKeyValueStore;
import org.buckthornferry.store.StoreException;
import org.buckthornferry.store.VersionedValue;
import org.buckthornferry.util.MonotonicClock;

/** Stand-in of the key-value service over its HTTP protocol. */
final class StoreStandIn implements StandIn {
  private static final String CALLER_HEADER = "Caller-Id";
  private static final long EXPIRE_INTERVAL_MILLIS = 20;

  private final EventLoopGroup eventLoops;
  private final RandomGenerator random;
  private final InMemoryKeyValueStore store;
  private final TokenBucket writes;
  private final TokenBucket reads;
  private final CallCounters counters = new CallCounters();
  private final FaultSwitch<StoreFaults> faults =
      new FaultSwitch<>(StoreFaults.class, StoreFaults.NONE);
  private ScheduledFuture<?> expiry;

  /**
   * Creates an empty store.
   *
   * @param writesPerSecond the rate of changes and lease calls above which calls get 429
   * @param readsPerSecond the rate of reads and watches above which calls get 429
   */
  StoreStandIn(
      EventLoopGroup eventLoops,
      MonotonicClock clock,
      RandomGenerator random,
      long writesPerSecond,
      long readsPerSecond) {
    this.eventLoops = eventLoops;
    this.random = random;
    this.store = new InMemoryKeyValueStore(clock);
    this.writes = new TokenBucket(writesPerSecond, clock);
    this.reads = new TokenBucket(readsPerSecond, clock);
  }

  @Override
  public FaultSwitch<StoreFaults> faults() {
    return faults;
  }

  @Override
  public void start() {
    expiry =
        eventLoops
            .next()
            .scheduleAtFixedRate(
                store::expire,
                EXPIRE_INTERVAL_MILLIS,
                EXPIRE_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
  }

  @Override
  public void stop() {
    expiry.cancel(false);
  }

  @Override
  public void handle(HttpExchange exchange) {
    if (exchange.path().equals("/admin/counters")) {
      Replies.json(exchange, 200, counters.snapshot());
      return;
    }
    Optional<StoreCallKind> kind = StoreCallKind.of(exchange.method(), exchange.path());
    if (kind.isEmpty()) {
      Replies.error(exchange, 400, "unknown call " + exchange.method() + " " + exchange.path());
      return;
    }
    counters.count(kind.get().name(), exchange.header(CALLER_HEADER).orElse("unknown"));
    StoreFaults active = faults.current();
    if (active.hang()) {
      return;
    }
    if (refuse(exchange, kind.get(), active)) {
      counters.countRefused();
      return;
    }
    if (active.delayMillis() > 0) {
      eventLoops
          .next()
          .schedule(
              () -> execute(exchange, kind.get()), active.delayMillis(), TimeUnit.MILLISECONDS);
    } else {
      execute(exchange, kind.get());
    }
  }

  private boolean refuse(HttpExchange exchange, StoreCallKind kind, StoreFaults active) {
    if (active.outage()) {
      Replies.error(exchange, 503, "outage");
      return true;
    }
    if (!(kind.isWrite() ? writes : reads).tryTake()) {
      Replies.error(exchange, 429, "rate of " + (kind.isWrite() ? "writes" : "reads"));
      return true;
    }
    return false;
  }

  private void execute(HttpExchange exchange, StoreCallKind kind) {
    try {
      CompletableFuture<Runnable> answer = call(exchange, kind);
      answer.whenComplete((write, failure) -> answer(exchange, kind, write, failure));
    } catch (IllegalArgumentException e) {
      Replies.error(exchange, 400, e.getMessage());
    }
  }

  private void answer(
      HttpExchange exchange, StoreCallKind kind, Runnable write, Throwable failure) {
    if (failure != null) {
      Replies.error(exchange, statusOf(failure), String.valueOf(failure.getMessage()));
    } else if (kind.isWrite() && losesAnswer()) {
      exchange.abort();
    } else if (kind == StoreCallKind.WATCH && faults.current().outage()) {
      Replies.error(exchange, 503, "outage");
    } else {
      write.run();
    }
  }

  private CompletableFuture<Runnable> call(HttpExchange exchange, StoreCallKind kind) {
    String path = exchange.path();
    return switch (kind) {
      case GET -> store.get(rest(path, StoreCallKind.KEY_PATH)).thenApply(v -> found(exchange, v));
      case LIST -> store.list(text(exchange, "prefix")).thenApply(v -> values(exchange, v));
      case PUT -> put(exchange, rest(path, StoreCallKind.KEY_PATH));
      case DELETE -> delete(exchange, rest(path, StoreCallKind.KEY_PATH));
      case LEASE_GRANT ->
          store
              .grantLease(number(exchange, "ttlMillis"))
              .thenApply(id -> () -> Replies.json(exchange, 200, Map.of("leaseId", id)));
      case LEASE_RENEW ->
          store
              .renewLease(leaseId(path))
              .thenApply(done -> () -> Replies.json(exchange, 200, Map.of()));
      case LEASE_GET ->
          store
              .isLeaseLive(leaseId(path))
              .thenApply(live -> () -> Replies.json(exchange, 200, Map.of("live", live)));
      case LEASE_REVOKE ->
          store
              .revokeLease(leaseId(path))
              .thenApply(done -> () -> Replies.json(exchange, 200, Map.of()));
      case WATCH ->
          store
              .watch(
                  rest(path, StoreCallKind.WATCH_PATH),
                  number(exchange, "afterVersion"),
                  number(exchange, "timeoutMillis"))
              .thenApply(v -> changed(exchange, v));
    };
  }

  private CompletableFuture<Runnable> put(HttpExchange exchange, String key) {
    return store
        .compareAndSwap(
            key,
            number(exchange, "expectedVersion"),
            exchange.body(),
            exchange.query("attemptId").orElse(""))
        .thenApply(version -> () -> Replies.json(exchange, 200, Map.of("version", version)));
  }

  private CompletableFuture<Runnable> delete(HttpExchange exchange, String key) {
    long expectedVersion = number(exchange, "expectedVersion");
    return store
        .delete(key, expectedVersion)
        .thenApply(done -> () -> Replies.json(exchange, 200, Map.of("version", expectedVersion)));
  }

  private boolean losesAnswer() {
    StoreFaults active = faults.current();
    if (active.loseNextAnswers() > 0) {
      faults.update(f -> f.withLoseNextAnswers(Math.max(0, f.loseNextAnswers() - 1)));
      return true;
    }
    return active.loseAnswerShare() > 0 && random.nextDouble() < active.loseAnswerShare();
  }

  private static Runnable found(HttpExchange exchange, Optional<VersionedValue> value) {
    return value.isPresent()
        ? () -> Replies.json(exchange, 200, value.get())
        : () -> Replies.error(exchange, 404, "absent");
  }

  private static Runnable changed(HttpExchange exchange, Optional<VersionedValue> value) {
    return value.isPresent()
        ? () -> Replies.json(exchange, 200, value.get())
        : () -> Replies.empty(exchange, 204);
  }

  private static Runnable values(HttpExchange exchange, List<VersionedValue> values) {
    return () -> Replies.json(exchange, 200, Map.of("values", values));
  }

  private static int statusOf(Throwable failure) {
    return switch (StoreException.kindOf(failure)) {
      case CONFLICT -> 409;
      case LEASE_EXPIRED -> 410;
      case TOO_LARGE -> 413;
      case RATE_LIMITED -> 429;
      case UNAVAILABLE -> 503;
      case OUTCOME_UNKNOWN, HISTORY_LOST -> 500;
    };
  }

  private static String rest(String path, String prefix) {
    return path.substring(prefix.length());
  }

  private static long leaseId(String path) {
    String id = rest(path, StoreCallKind.LEASE_PATH);
    int end =
        id.endsWith(StoreCallKind.RENEW_SUFFIX)
            ? id.length() - StoreCallKind.RENEW_SUFFIX.length()
            : id.length();
    return Long.parseLong(id.substring(0, end));
  }

  private static String text(HttpExchange exchange, String name) {
    return exchange
        .query(name)
        .orElseThrow(() -> new IllegalArgumentException("parameter " + name + " is missing"));
  }

  private static long number(HttpExchange exchange, String name) {
    return Long.parseLong(text(exchange, name));
  }
}
