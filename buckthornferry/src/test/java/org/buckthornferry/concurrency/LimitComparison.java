package org.buckthornferry.concurrency;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import org.buckthornferry.concurrency.EngineFleet.Limiter;
import org.buckthornferry.concurrency.EngineFleet.Plan;
import org.buckthornferry.concurrency.EngineFleet.Result;

/**
 * Compares limits that are learned by different algorithms; the runs of {@code
 * docs/design/learned-limits.md}. Not a test: started by its main method.
 */
final class LimitComparison {
  private static final int SEEDS = 5;
  private static final double WARM_UP_MILLIS = 5_000;

  private LimitComparison() {}

  /** Limits by speed factor that are known in advance. */
  record FixedLimits(List<Double> factors, int fast, int slow) implements Limiter {
    @Override
    public int limit(String id, long nowNanos) {
      return factors.get(Integer.parseInt(id.substring(1))) > 1 ? slow : fast;
    }

    @Override
    public void observe(String id, Observation observation, long nowNanos) {}
  }

  /** Raises the limit slowly while answers are good at the limit, and lowers it by a share. */
  static final class AdditiveIncrease implements Limiter {
    private final Map<String, double[]> states = new HashMap<>();

    @Override
    public int limit(String id, long nowNanos) {
      return (int) states.computeIfAbsent(id, key -> new double[] {4, -1e18})[0];
    }

    @Override
    public void observe(String id, Observation answer, long nowNanos) {
      double[] state = states.computeIfAbsent(id, key -> new double[] {4, -1e18});
      if (!isGood(answer)) {
        if (nowNanos - state[1] > 500e6) {
          state[0] = Math.max(1, state[0] * 0.7);
          state[1] = nowNanos;
        }
      } else if (answer.concurrency() >= (int) state[0]) {
        state[0] = Math.min(4, state[0] + 0.2);
      }
    }
  }

  /** Sets the limit by the ratio of the shortest to the present time of answers. */
  static final class Gradient implements Limiter {
    private final Map<String, double[]> states = new HashMap<>();

    @Override
    public int limit(String id, long nowNanos) {
      return (int) Math.round(state(id)[0]);
    }

    private double[] state(String id) {
      return states.computeIfAbsent(id, key -> new double[] {4, 0, 0});
    }

    @Override
    public void observe(String id, Observation answer, long nowNanos) {
      double[] state = state(id);
      if (answer.events() < 5) {
        return;
      }
      double pace = answer.streamMillis() / (answer.events() - 1);
      // The shortest time rises slowly, so that it follows an engine that has become slower.
      state[1] = state[1] == 0 ? pace : Math.min(state[1] * 1.01, pace);
      state[2] = state[2] == 0 ? pace : state[2] + 0.2 * (pace - state[2]);
      double gradient = Math.max(0.5, Math.min(1, 1.5 * state[1] / state[2]));
      double target = state[0] * gradient + Math.sqrt(state[0]) * 0.5;
      state[0] = Math.max(1, Math.min(4, state[0] + 0.2 * (target - state[0])));
    }
  }

  private static boolean isGood(Observation answer) {
    return answer.firstEventMillis() <= answer.firstEventGoalMillis()
        && answer.longestGapMillis() <= answer.gapGoalMillis();
  }

  static Plan plan(List<Double> factors, double perSecond) {
    return new Plan(factors, 9, 0, perSecond, 30, 45, 1, 0, 0, 1);
  }

  static List<Double> fleet(int engines) {
    return IntStream.range(0, engines).mapToObj(i -> i % 3 == 2 ? 3.0 : 0.68).toList();
  }

  private static double print(String scenario, String name, Plan plan, Supplier<Limiter> limiter) {
    double goodShare = 0;
    double answers = 0;
    double value = 0;
    double refused = 0;
    for (int seed = 1; seed <= SEEDS; seed++) {
      Result result = new EngineFleet(plan, limiter.get(), seed).run(WARM_UP_MILLIS);
      goodShare += result.goodShare() / SEEDS;
      answers += result.answersPerSecond() / SEEDS;
      value += result.valuePerSecond() / SEEDS;
      refused += result.refused() / result.seconds() / SEEDS;
    }
    System.out.printf(
        Locale.ROOT,
        "%-28s %-18s good %5.1f%% answers/s %7.2f refused/s %6.2f value/s %7.2f%n",
        scenario,
        name,
        100 * goodShare,
        answers,
        refused,
        value);
    return value;
  }

  private static void compare(String scenario, Plan plan) {
    String best = "";
    double bestValue = -1;
    boolean isMixed = plan.factors().stream().distinct().count() > 1;
    for (int fast = 1; fast <= 4; fast++) {
      for (int slow = 1; slow <= 4; slow++) {
        if (!isMixed && fast != slow) {
          continue;
        }
        double value = 0;
        for (int seed = 1; seed <= 2; seed++) {
          FixedLimits fixed = new FixedLimits(plan.factors(), fast, slow);
          value += new EngineFleet(plan, fixed, seed).run(WARM_UP_MILLIS).valuePerSecond();
        }
        if (value > bestValue) {
          bestValue = value;
          best = fast + "/" + slow;
        }
      }
    }
    int fast = best.charAt(0) - '0';
    int slow = best.charAt(2) - '0';
    List<Double> factors = plan.factors();
    double oracle =
        print(scenario, "best fixed " + best, plan, () -> new FixedLimits(factors, fast, slow));
    print(scenario, "none", plan, () -> new FixedLimits(factors, 4, 4));
    print(scenario, "weight", plan, () -> new FixedLimits(factors, 4, 1));
    print(scenario, "additive", plan, AdditiveIncrease::new);
    print(scenario, "gradient", plan, Gradient::new);
    double learned = print(scenario, "curve", plan, () -> null);
    System.out.printf(Locale.ROOT, "%-28s regret %.1f%%%n", scenario, 100 * (1 - learned / oracle));
  }

  /** Runs all scenarios whose name contains the argument. */
  public static void main(String[] args) {
    String filter = args.length == 0 ? "" : args[0];
    Map<String, Plan> plans = new LinkedHashMap<>();
    List<Double> slow = List.of(3.0, 3.0, 3.0);
    List<Double> fast = List.of(0.68, 0.68, 0.68);
    List<Double> mixed = fleet(12);
    plans.put("slow, overload", plan(slow, 9));
    plans.put("slow, half load", plan(slow, 1.5));
    plans.put("fast, overload", plan(fast, 30));
    plans.put("mixed, load 24/s", plan(mixed, 24));
    plans.put("mixed, load 36/s", plan(mixed, 36));
    plans.put("mixed, load 44/s", plan(mixed, 44));
    plans.put("mixed, load 56/s", plan(mixed, 56));
    plans.put("mixed, load 80/s", plan(mixed, 80));
    plans.put("knee 2, load 24/s", new Plan(mixed, 2, 0, 24, 30, 45, 1, 0, 0, 1));
    plans.put("knee 2, load 40/s", new Plan(mixed, 2, 0, 40, 30, 45, 1, 0, 0, 1));
    plans.put("noise, load 36/s", new Plan(mixed, 9, 0.15, 36, 30, 45, 1, 0, 0, 1));
    plans.put("noise, load 56/s", new Plan(mixed, 9, 0.15, 56, 30, 45, 1, 0, 0, 1));
    plans.put("5x slow, load 30/s", new Plan(mixed, 9, 0, 30, 30, 45, 5, 10e3, 25e3, 1));
    plans.put("2.5x slow, load 36/s", new Plan(mixed, 9, 0, 36, 30, 45, 2.5, 10e3, 25e3, 1));
    plans.put("3 instances", new Plan(fleet(6), 9, 0, 18, 3, 45, 1, 0, 0, 1));
    plans.put("30 instances", new Plan(fleet(48), 9, 0, 144, 30, 45, 1, 0, 0, 1));
    plans.put("300 instances", new Plan(fleet(300), 9, 0, 900, 300, 20, 1, 0, 0, 1));
    plans.put("3, slow instance", new Plan(fleet(6), 9, 0, 18, 3, 45, 1, 0, 0, 4));
    plans.put("30, slow instance", new Plan(fleet(48), 9, 0, 144, 30, 45, 1, 0, 0, 4));
    plans.forEach(
        (name, plan) -> {
          if (name.contains(filter)) {
            compare(name, plan);
          }
        });
  }
}
