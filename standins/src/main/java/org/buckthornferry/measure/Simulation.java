package org.buckthornferry.measure;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.buckthornferry.admission.Tier;
import org.buckthornferry.config.ConfigSnapshot;
import org.buckthornferry.config.CustomerDeclaration;
import org.buckthornferry.config.Declarations;
import org.buckthornferry.endpoint.LoadReport;
import org.buckthornferry.error.ErrorKind;
import org.buckthornferry.routing.PendingRequest;
import org.buckthornferry.routing.RequestOutcome;

/** One run of one scheduler under one load and a set of faults, in virtual time. */
final class Simulation {
  private static final long SECOND = 1_000_000_000L;
  private static final int INSTANCES = 8;
  private static final long TICK_NANOS = 20_000_000;
  private static final long REPORT_NANOS = 200_000_000;
  private static final long REPORT_LAG_NANOS = 100_000_000;
  private static final long STALE_LAG_NANOS = 5 * SECOND;
  private static final long FAULT_NANOS = 200 * SECOND;
  private static final long RETURN_NANOS = 350 * SECOND;
  private static final long REPEAT_NANOS = SECOND;
  private static final long WARM_UP_NANOS = 60 * SECOND;

  /** Requests keep arriving after the measured ones, so that these compete until their end. */
  private static final long TAIL_NANOS = 200 * SECOND;

  /** A drain is a configuration revision, which may take 2 s to be in force. */
  private static final long DRAIN_GRACE_NANOS = 2 * SECOND;

  /** A cold start is seen with the next load report; until then requests still arrive. */
  private static final long COLD_GRACE_NANOS = SECOND;

  private final Scenario scenario;
  private final double loadFactor;
  private final Set<Fault> faults;
  private final SplittableRandom random;
  private final VirtualTime time = new VirtualTime();
  private final Map<String, FakeEngine> engines = new HashMap<>();
  private final Set<String> flooding = new HashSet<>();
  private final Map<String, Result> results = new TreeMap<>();
  private final long arrivalEndNanos;
  private Policy policy;
  private ConfigSnapshot config;
  private long sequence;

  Simulation(Scenario scenario, double loadFactor, Set<Fault> faults, long seconds, long seed) {
    this.scenario = scenario;
    this.loadFactor = loadFactor;
    this.faults = faults;
    this.random = new SplittableRandom(seed);
    this.arrivalEndNanos = seconds * SECOND;
    this.config = new ConfigSnapshot(1, "first", scenario.declarations());
    for (EngineSpec spec : scenario.engines()) {
      engines.put(spec.declaration().id(), new FakeEngine(spec, time, this::ended));
    }
  }

  /** Runs the library, or a baseline when one is named. */
  Map<String, Result> run(BaselinePolicy.Kind baseline) {
    long policySeed = random.nextLong();
    policy =
        baseline == null
            ? new LibraryPolicy(
                scenario, INSTANCES, policySeed, time, this::dispatch, this::refused)
            : new BaselinePolicy(baseline, scenario, INSTANCES, policySeed, this::dispatch);
    tick();
    reports();
    scheduleFaults();
    SplittableRandom arrivals = random.split();
    for (Scenario.RouteLoad load : scenario.routes()) {
      arrive(load, arrivals.split(), 5 * SECOND);
    }
    time.runUntil(arrivalEndNanos + 2 * TAIL_NANOS);
    for (FakeEngine engine : engines.values()) {
      resultOf(serviceOf(engine.id())).prefillTokens += engine.computedPrefillTokens();
    }
    results.forEach(this::computeBound);
    return results;
  }

  private Result resultOf(String serviceId) {
    return results.computeIfAbsent(serviceId, id -> new Result());
  }

  private Result resultOf(Work work) {
    return resultOf(work.request().serviceId());
  }

  private static String serviceOf(String endpointId) {
    return endpointId.substring(0, endpointId.lastIndexOf('-'));
  }

  private void tick() {
    policy.onTick();
    time.at(time.nowNanos() + TICK_NANOS, this::tick);
  }

  private void reports() {
    long lagNanos = faults.contains(Fault.STALE) ? STALE_LAG_NANOS : REPORT_LAG_NANOS;
    for (FakeEngine engine : engines.values()) {
      if (!engine.isDown()) {
        LoadReport report = engine.report();
        time.at(time.nowNanos() + lagNanos, () -> policy.onReport(report));
      }
    }
    time.at(time.nowNanos() + REPORT_NANOS, this::reports);
  }

  private void arrive(Scenario.RouteLoad load, SplittableRandom source, long atNanos) {
    if (atNanos >= arrivalEndNanos + TAIL_NANOS) {
      return;
    }
    time.at(
        atNanos,
        () -> {
          submit(newWork(load, source, customer(source), false));
          double perSecond =
              loadFactor * scenario.capacityPerSecond(load.serviceId()) * scenario.countShare(load);
          double gapSeconds = -Math.log(1 - source.nextDouble()) / perSecond;
          arrive(load, source, atNanos + 1 + (long) (gapSeconds * SECOND));
        });
  }

  /** Two large customers send most of the load. */
  private int customer(SplittableRandom source) {
    double chance = source.nextDouble();
    return chance < 0.4 ? 0 : chance < 0.7 ? 1 : 2 + source.nextInt(3);
  }

  private Work newWork(
      Scenario.RouteLoad load, SplittableRandom source, int customer, boolean poison) {
    CustomerDeclaration declaration = scenario.declarations().customers().get(customer);
    boolean plain = load.route().expectedDecodeTokens() == 1;
    double scale = plain ? 1 : 0.5 + source.nextDouble();
    double decodeScale = plain ? 1 : 0.5 + source.nextDouble();
    long prompt = Math.max(1, (long) (scale * load.route().expectedPrefillTokens()));
    long decode = Math.max(1, (long) (decodeScale * load.route().expectedDecodeTokens()));
    String id = "r" + sequence++;
    long now = time.nowNanos();
    PendingRequest request =
        new PendingRequest(
            id,
            load.serviceId(),
            load.route().path(),
            load.route().tier(),
            declaration.id(),
            declaration.weight(),
            poison ? "poison" : id,
            prefixes(load, customer, prompt),
            prompt,
            Math.max(256, 4 * prompt),
            now,
            now + (long) (load.deadlineSeconds() * SECOND),
            false);
    return new Work(request, decode, poison);
  }

  /** Requests of one customer and route share the first part of their prompts. */
  private static List<Long> prefixes(Scenario.RouteLoad load, int customer, long prompt) {
    List<Long> hashes = new ArrayList<>();
    long blocks = Math.min(prompt, load.sharedPrefixTokens()) / FakeEngine.BLOCK_TOKENS;
    long base = (load.route().path().hashCode() * 31L + customer) << 16;
    for (long block = 0; block < blocks; block++) {
      hashes.add(base + block);
    }
    return hashes;
  }

  private void submit(Work work) {
    if (isMeasured(work)) {
      resultOf(work).offer(work, scenario.placeSeconds(work));
    }
    policy.submit(random.nextInt(INSTANCES), work);
  }

  private boolean isMeasured(Work work) {
    long arrivedNanos = work.request().arrivedNanos();
    return !work.poison()
        && !flooding.contains(work.id())
        && arrivedNanos >= WARM_UP_NANOS
        && arrivedNanos < arrivalEndNanos;
  }

  private void dispatch(Work work, String endpointId) {
    FakeEngine engine = engines.get(endpointId);
    long now = time.nowNanos();
    boolean drained =
        faults.contains(Fault.DRAIN)
            && engine.spec.declaration().failureDomain().equals(drainedDomain())
            && now >= FAULT_NANOS + DRAIN_GRACE_NANOS
            && now < RETURN_NANOS;
    resultOf(work).dispatchesAfterDrain += drained ? 1 : 0;
    time.at(
        now + 500_000,
        () -> {
          engine.submit(work);
          if (engine.isCold()) {
            countCold(engine);
          }
        });
  }

  private void countCold(FakeEngine engine) {
    int bound = engine.spec.declaration().coldConcurrent();
    int started = (int) engine.startedInColdStart(COLD_GRACE_NANOS);
    Result result = resultOf(serviceOf(engine.id()));
    result.coldExcess = Math.max(result.coldExcess, started);
    result.coldViolations += started > bound ? 1 : 0;
  }

  private void refused(Work work, ErrorKind kind) {
    if (isMeasured(work)) {
      resultOf(work).refusals.merge(kind, 1, Integer::sum);
    }
  }

  private void ended(Work work, RequestOutcome outcome) {
    time.at(time.nowNanos() + 500_000, () -> answered(work, outcome));
  }

  private void answered(Work work, RequestOutcome outcome) {
    boolean success = outcome.kind() == RequestOutcome.Kind.SUCCEEDED;
    boolean inTime = time.nowNanos() <= work.request().deadlineNanos();
    if (success && isMeasured(work)) {
      resultOf(work).finish(work, scenario.placeSeconds(work), inTime);
    }
    if (outcome.kind() == RequestOutcome.Kind.CRASHED) {
      repeat(work);
    }
    if (!success && isMeasured(work)) {
      resultOf(work).failures.merge(outcome.kind().name(), 1, Integer::sum);
    }
    boolean useless = !success || (!inTime && work.request().tier() != Tier.CRITICAL);
    resultOf(work).wastedPrefillTokens += useless ? outcome.computedPrefillTokens() : 0;
    policy.completed(work, outcome);
  }

  /** The caller of a lost idempotent request repeats it with the same content and deadline. */
  private void repeat(Work work) {
    PendingRequest lost = work.request();
    if (work.poison() || lost.routePath().equals("/book")) {
      return;
    }
    PendingRequest again =
        new PendingRequest(
            "r" + sequence++,
            lost.serviceId(),
            lost.routePath(),
            lost.tier(),
            lost.customerId(),
            lost.customerWeight(),
            lost.contentHash(),
            lost.prefixHashes(),
            lost.promptTokens(),
            lost.sizeBytes(),
            lost.arrivedNanos(),
            lost.deadlineNanos(),
            false);
    time.at(
        time.nowNanos() + REPEAT_NANOS,
        () ->
            policy.submit(random.nextInt(INSTANCES), new Work(again, work.decodeTokens(), false)));
  }

  private String drainedDomain() {
    return scenario.declarations().failureDomains().get(0).id();
  }

  private FakeEngine modelEngine(int index) {
    return engines.get(scenario.engines().get(index).declaration().id());
  }

  private void scheduleFaults() {
    for (Fault fault : faults) {
      switch (fault) {
        case CRASH -> time.at(FAULT_NANOS, () -> modelEngine(1).crash(20 * SECOND, 20 * SECOND));
        case COLD -> time.at(FAULT_NANOS, () -> modelEngine(3).startCold(60 * SECOND));
        case STRAGGLER -> time.at(FAULT_NANOS, () -> modelEngine(4).setSpeed(0.25));
        case DRAIN -> {
          time.at(FAULT_NANOS, () -> drain(true));
          time.at(RETURN_NANOS, () -> drain(false));
        }
        case FLOOD -> flood(FAULT_NANOS);
        case POISON -> poison(FAULT_NANOS);
        default -> {}
      }
    }
  }

  private void drain(boolean drained) {
    Declarations old = config.declarations();
    Declarations changed =
        new Declarations(
            old.failureDomains().stream()
                .map(
                    domain ->
                        domain.id().equals(drainedDomain()) ? domain.withDrained(drained) : domain)
                .toList(),
            old.customers(),
            old.services());
    config = new ConfigSnapshot(config.revision() + 1, "drain", changed);
    policy.configure(config);
  }

  /** The smallest customer sends questions; they are not counted in the figures. */
  private void flood(long atNanos) {
    Scenario.RouteLoad load = scenario.routes().get(1);
    double perSecond = 2 * scenario.capacityPerSecond(load.serviceId()) * scenario.countShare(load);
    if (atNanos < arrivalEndNanos + TAIL_NANOS) {
      time.at(
          atNanos,
          () -> {
            Work work = newWork(load, random, 4, false);
            flooding.add(work.id());
            policy.submit(random.nextInt(INSTANCES), work);
            flood(atNanos + (long) (SECOND / perSecond));
          });
    }
  }

  private void poison(long atNanos) {
    if (atNanos < FAULT_NANOS + 60 * SECOND) {
      time.at(
          atNanos,
          () -> {
            Work work = newWork(scenario.routes().get(1), random, 4, true);
            policy.submit(random.nextInt(INSTANCES), work);
            poison(atNanos + 5 * SECOND);
          });
    }
  }

  /**
   * The bound of a scheduler that knows every size and the future: each place of each engine is
   * always busy at the full batch's speed, and the highest tier is served first.
   */
  private void computeBound(String serviceId, Result result) {
    double seconds = (double) (arrivalEndNanos - WARM_UP_NANOS) / SECOND;
    double left = scenario.places(serviceId) * seconds;
    for (double offered : result.offeredSeconds) {
      double served = Math.min(left, offered);
      result.boundSeconds += served;
      left -= served;
    }
  }
}
