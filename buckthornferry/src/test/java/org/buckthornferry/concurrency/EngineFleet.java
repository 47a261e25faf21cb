package org.buckthornferry.concurrency;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Model engines and one queue on virtual time, for the comparison of limits. An engine decodes a
 * token for all its requests in a step and reads one prompt chunk between two steps.
 */
final class EngineFleet {
  private static final double STEP_MILLIS = 6.45;
  private static final double PROMPT_TOKENS_PER_MILLI = 56.1;
  private static final int CHUNK_TOKENS = 1_024;
  private static final int TOKENS_PER_EVENT = 4;
  private static final int SLOTS = 4;
  private static final double GOAL_MILLIS = 1_219;
  private static final double GAP_MILLIS = 200;
  private static final double PATIENCE_MILLIS = 4_000;
  private static final double MIN_FIRST_MILLIS = 150;
  private static final double NOISE_MILLIS = 600;
  private static final double NOISE_FACTOR = 2.5;

  /** Chooses the limit of an endpoint. */
  interface Limiter {
    int limit(String id, long nowNanos);

    void observe(String id, Observation observation, long nowNanos);
  }

  /**
   * What is run.
   *
   * @param factors the speed factors of the engines
   * @param knee the concurrency beyond which each request lengthens the steps by 1.5 times more
   * @param changeFactor applied to every third engine between {@code changeMillis} and {@code
   *     recoverMillis}
   * @param slowInstanceFactor by how much the instance with number 0 measures too long
   */
  record Plan(
      List<Double> factors,
      int knee,
      double noiseShare,
      double perSecond,
      int instances,
      double seconds,
      double changeFactor,
      double changeMillis,
      double recoverMillis,
      double slowInstanceFactor) {}

  /** What callers got: numbers of answers, and the value with a third for a late answer. */
  record Result(int good, int late, int refused, double seconds) {
    double valuePerSecond() {
      return (good + late / 3.0) / seconds;
    }

    double answersPerSecond() {
      return (good + late) / seconds;
    }

    double goodShare() {
      return good / (double) Math.max(1, good + late);
    }
  }

  private static final class Request {
    private int instance;
    private double arrivedMillis;
    private double sentMillis;
    private double promptTokens;
    private double leftToRead;
    private int events;
    private int tokens;
    private int concurrency;
    private double firstMillis;
    private double lastMillis;
    private double longestGapMillis;
  }

  private static final class Engine {
    private String id;
    private double factor;
    private double noisyUntilMillis;
    private double nextNoiseMillis;
    private final List<Request> running = new ArrayList<>();
    private List<Request> decoding = List.of();
    private double stepEndMillis = Double.MAX_VALUE;
  }

  final CapacityModel model = new CapacityModel(LimitPolicy.LEARNED);
  private final Plan plan;
  private final Limiter limiter;
  private final Random random;
  private final Random arrivals;
  private final Engine[] engines;
  private final Deque<Request> waiting = new ArrayDeque<>();
  private final Deque<Request> waitingLate = new ArrayDeque<>();
  private double nowMillis;
  private int good;
  private int late;
  private int refused;
  private double countFromMillis;

  EngineFleet(Plan plan, Limiter limiter, long seed) {
    this.plan = plan;
    this.limiter = limiter == null ? learned() : limiter;
    random = new Random(seed);
    arrivals = new Random(seed + 1_000);
    engines = new Engine[plan.factors.size()];
    Map<String, Integer> slots = new HashMap<>();
    for (int i = 0; i < engines.length; i++) {
      engines[i] = new Engine();
      engines[i].id = "e" + i;
      engines[i].factor = plan.factors.get(i);
      engines[i].nextNoiseMillis = nextNoise(0);
      slots.put(engines[i].id, SLOTS);
    }
    model.setEndpoints(slots);
  }

  private Limiter learned() {
    return new Limiter() {
      @Override
      public int limit(String id, long nowNanos) {
        return model.estimate(id, nowNanos).limit();
      }

      @Override
      public void observe(String id, Observation observation, long nowNanos) {}
    };
  }

  long nowNanos() {
    return (long) (nowMillis * 1e6);
  }

  int limit(int engine) {
    return limiter.limit(engines[engine].id, nowNanos());
  }

  /** Runs the plan; the result counts from {@code fromMillis}. */
  Result run(double fromMillis) {
    countFromMillis = fromMillis;
    advance(plan.seconds * 1_000);
    return result();
  }

  Result result() {
    return new Result(good, late, refused, (nowMillis - countFromMillis) / 1_000);
  }

  private double nextArrivalMillis;

  /** Runs until a point in time. */
  void advance(double untilMillis) {
    while (true) {
      Engine next = engines[0];
      for (Engine engine : engines) {
        if (engine.stepEndMillis < next.stepEndMillis) {
          next = engine;
        }
      }
      double eventMillis = Math.min(next.stepEndMillis, nextArrivalMillis);
      if (eventMillis > untilMillis) {
        nowMillis = untilMillis;
        return;
      }
      nowMillis = eventMillis;
      if (next.stepEndMillis > nextArrivalMillis) {
        arrive();
      } else {
        endStep(next);
      }
      place();
    }
  }

  private void arrive() {
    Request request = new Request();
    request.instance = arrivals.nextInt(plan.instances);
    request.arrivedMillis = nowMillis;
    request.promptTokens = Math.min(30_000, heavyTailed(3_720));
    request.leftToRead = request.promptTokens;
    request.events = (int) Math.max(1, heavyTailed(30));
    waiting.add(request);
    nextArrivalMillis = nowMillis - Math.log(1 - arrivals.nextDouble()) * 1_000 / plan.perSecond;
  }

  private double heavyTailed(double mean) {
    return mean * Math.exp(arrivals.nextGaussian() - 0.5);
  }

  private void place() {
    while (!waiting.isEmpty() && ageMillis(waiting) > GOAL_MILLIS - MIN_FIRST_MILLIS) {
      waitingLate.add(waiting.poll());
    }
    while (!waitingLate.isEmpty() && ageMillis(waitingLate) > PATIENCE_MILLIS) {
      waitingLate.poll();
      refused += nowMillis >= countFromMillis ? 1 : 0;
    }
    while (!waiting.isEmpty() || !waitingLate.isEmpty()) {
      Deque<Request> queue = waiting.isEmpty() ? waitingLate : waiting;
      Engine best = null;
      double bestScore = Double.MAX_VALUE;
      for (Engine engine : engines) {
        if (engine.running.size() >= SLOTS
            || engine.running.size() >= limiter.limit(engine.id, nowNanos())) {
          continue;
        }
        CapacityEstimate estimate = model.estimate(engine.id, nowNanos());
        double score = estimate.millisPerToken() * (queue.peek().promptTokens + 800);
        score += estimate.millisPerEvent() > 0.6 * GAP_MILLIS ? 1e6 : random.nextDouble();
        if (score < bestScore) {
          best = engine;
          bestScore = score;
        }
      }
      if (best == null) {
        return;
      }
      Request request = queue.poll();
      request.sentMillis = nowMillis;
      best.running.add(request);
      request.concurrency = best.running.size();
      if (best.stepEndMillis == Double.MAX_VALUE) {
        startStep(best);
      }
    }
  }

  private double ageMillis(Deque<Request> queue) {
    return nowMillis - queue.peek().arrivedMillis;
  }

  private double nextNoise(double fromMillis) {
    if (plan.noiseShare == 0) {
      return Double.MAX_VALUE;
    }
    double meanQuietMillis = NOISE_MILLIS * (1 - plan.noiseShare) / plan.noiseShare;
    return fromMillis - Math.log(1 - random.nextDouble()) * meanQuietMillis;
  }

  private void startStep(Engine engine) {
    if (engine.running.isEmpty()) {
      engine.stepEndMillis = Double.MAX_VALUE;
      return;
    }
    engine.decoding = new ArrayList<>();
    double millis = 0;
    boolean hasRead = false;
    for (Request request : engine.running) {
      if (request.leftToRead <= 0) {
        engine.decoding.add(request);
      } else if (!hasRead) {
        hasRead = true;
        double chunk = Math.min(CHUNK_TOKENS, request.leftToRead);
        request.leftToRead -= chunk;
        millis += chunk / PROMPT_TOKENS_PER_MILLI;
      }
    }
    millis += engine.decoding.isEmpty() ? 0 : STEP_MILLIS;
    engine.stepEndMillis = nowMillis + millis * speedFactor(engine);
  }

  private double speedFactor(Engine engine) {
    double factor = engine.factor;
    boolean isThird = engine == engines[0] || Arrays.asList(engines).indexOf(engine) % 3 == 0;
    if (isThird && nowMillis >= plan.changeMillis && nowMillis < plan.recoverMillis) {
      factor *= plan.changeFactor;
    }
    factor *= 1 + 1.5 * Math.max(0, engine.running.size() - plan.knee);
    if (nowMillis >= engine.nextNoiseMillis) {
      engine.noisyUntilMillis = engine.nextNoiseMillis + NOISE_MILLIS;
      engine.nextNoiseMillis = nextNoise(engine.noisyUntilMillis);
    }
    return nowMillis < engine.noisyUntilMillis ? factor * NOISE_FACTOR : factor;
  }

  private void endStep(Engine engine) {
    for (Request request : engine.decoding) {
      request.tokens++;
      if (request.tokens % TOKENS_PER_EVENT != 0) {
        continue;
      }
      if (request.tokens == TOKENS_PER_EVENT) {
        request.firstMillis = nowMillis;
      } else {
        request.longestGapMillis =
            Math.max(request.longestGapMillis, nowMillis - request.lastMillis);
      }
      request.lastMillis = nowMillis;
    }
    List<Request> ended = new ArrayList<>();
    for (Iterator<Request> all = engine.running.iterator(); all.hasNext(); ) {
      Request request = all.next();
      if (request.tokens >= request.events * TOKENS_PER_EVENT) {
        all.remove();
        ended.add(request);
      }
    }
    ended.forEach(request -> end(engine, request));
    startStep(engine);
  }

  private void end(Engine engine, Request request) {
    boolean isGood =
        request.firstMillis - request.arrivedMillis <= GOAL_MILLIS
            && request.longestGapMillis <= GAP_MILLIS;
    if (nowMillis >= countFromMillis) {
      good += isGood ? 1 : 0;
      late += isGood ? 0 : 1;
    }
    double measured = request.instance == 0 ? plan.slowInstanceFactor : 1;
    Observation observation =
        new Observation(
            "i" + request.instance,
            request.concurrency,
            request.promptTokens,
            (request.firstMillis - request.sentMillis) * measured,
            request.events,
            (request.lastMillis - request.firstMillis) * measured,
            request.longestGapMillis * measured,
            GOAL_MILLIS - (request.sentMillis - request.arrivedMillis),
            GAP_MILLIS);
    model.observe(engine.id, observation, nowNanos());
    limiter.observe(engine.id, observation, nowNanos());
  }
}
