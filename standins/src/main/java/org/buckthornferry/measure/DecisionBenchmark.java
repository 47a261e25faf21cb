package org.buckthornferry.measure;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.buckthornferry.admission.Tier;
import org.buckthornferry.config.EndpointDeclaration;
import org.buckthornferry.config.RouteDeclaration;
import org.buckthornferry.config.ServiceDeclaration;
import org.buckthornferry.config.ServiceKind;
import org.buckthornferry.config.TierDeclaration;
import org.buckthornferry.endpoint.CostEstimator;
import org.buckthornferry.endpoint.EndpointState;
import org.buckthornferry.endpoint.EndpointStates;
import org.buckthornferry.endpoint.EndpointStatus;
import org.buckthornferry.endpoint.PrefixIndex;
import org.buckthornferry.endpoint.RouteCost;
import org.buckthornferry.routing.Candidate;
import org.buckthornferry.routing.ConcurrencyLimits;
import org.buckthornferry.routing.EndpointChooser;
import org.buckthornferry.routing.VersionGate;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * Measures one decision of the endpoint chooser: the choice for a request with a cached prefix, the
 * start on the chosen endpoint and the end of the oldest request, with nine tenths of all places in
 * use.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class DecisionBenchmark {
  private static final int CONCURRENT = 8;
  private static final double USED = 0.9;

  @Param({"10", "100", "1000", "10000"})
  private int endpoints;

  private final Map<String, Integer> running = new HashMap<>();
  private EndpointChooser chooser;
  private SplittableRandom random;
  private String[] started;
  private int next;
  private long nowNanos;

  /** Creates the endpoints and fills nine tenths of their places. */
  @Setup(Level.Trial)
  public void setUp() {
    random = new SplittableRandom(1);
    CostEstimator costs = new CostEstimator();
    PrefixIndex prefixes = new PrefixIndex(50_000);
    ServiceDeclaration service = service();
    costs.declare(service);
    ConcurrencyLimits limits = new Limits();
    chooser = new EndpointChooser("model", costs, prefixes, limits, VersionGate.OPEN, 64);
    chooser.declare(service);
    Map<String, EndpointStatus> states = new HashMap<>();
    for (EndpointDeclaration endpoint : service.endpoints()) {
      states.put(endpoint.id(), new EndpointStatus(EndpointState.WARM, CONCURRENT));
      costs.observeDecode(endpoint.id(), 1e7 * (1 + random.nextDouble()));
      costs.observePrefill(endpoint.id(), 1e5 * (1 + random.nextDouble()));
      prefixes.onPrefilled(endpoint.id(), List.of((long) random.nextInt(1_000)));
    }
    chooser.update(new EndpointStates(1, states));
    started = new String[(int) (endpoints * CONCURRENT * USED)];
    for (int i = 0; i < started.length; i++) {
      started[i] = start();
    }
  }

  /** Ends the oldest request and decides about a new one. */
  @Benchmark
  public String decide() {
    nowNanos += 10_000;
    String ended = started[next];
    running.merge(ended, -1, Integer::sum);
    chooser.onFinished(ended);
    started[next] = start();
    next = (next + 1) % started.length;
    return ended;
  }

  private String start() {
    RouteCost cost = new RouteCost(200 + random.nextInt(2_000), 50 + random.nextInt(500));
    List<Long> hashes = List.of((long) random.nextInt(1_000));
    Optional<Candidate> chosen = chooser.choose(cost, hashes, Set.of(), nowNanos);
    // A decision that finds no place within its bound is repeated, as the controller does.
    while (chosen.isEmpty()) {
      nowNanos += 5_000_000;
      chosen = chooser.choose(cost, hashes, Set.of(), nowNanos);
    }
    String endpointId = chosen.get().endpointId();
    running.merge(endpointId, 1, Integer::sum);
    chooser.onStarted(endpointId, cost, nowNanos);
    return endpointId;
  }

  private ServiceDeclaration service() {
    List<EndpointDeclaration> declarations = new ArrayList<>();
    for (int i = 0; i < endpoints; i++) {
      declarations.add(
          new EndpointDeclaration(
              "model-" + i, "127.0.0.1:1", "kol-a", "v1", "gen" + i % 5, CONCURRENT, 2, true));
    }
    return new ServiceDeclaration(
        "model",
        ServiceKind.MODEL,
        "v1",
        List.of(new RouteDeclaration("/q", Tier.STANDARD, true, 1_000, 200)),
        List.of(new TierDeclaration(Tier.STANDARD, 8_000, 4_000)),
        declarations,
        Optional.empty());
  }

  private final class Limits implements ConcurrencyLimits {
    @Override
    public int available(String endpointId, long atNanos) {
      return CONCURRENT - running.getOrDefault(endpointId, 0);
    }

    @Override
    public boolean tryAcquire(String endpointId, long atNanos) {
      return available(endpointId, atNanos) > 0;
    }

    @Override
    public void release(String endpointId, long atNanos) {}
  }
}
