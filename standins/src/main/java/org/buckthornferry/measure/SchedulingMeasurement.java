package org.buckthornferry.measure;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.buckthornferry.admission.Tier;

/**
 * Measures the decision classes in virtual time against simple schedulers, and prints a table. The
 * figures depend only on the options.
 */
public final class SchedulingMeasurement {
  @Parameter(names = "--seed", description = "Seed of the load and the faults")
  private long seed = 1;

  @Parameter(names = "--deployment", description = "carnauba, hooghly or all")
  private String deployment = "all";

  @Parameter(names = "--load", description = "Load relative to capacity; 0 for every level")
  private double load;

  @Parameter(
      names = "--fault",
      description = "none, single, pairs, all, or names such as CRASH,COLD")
  private String fault = "all";

  @Parameter(names = "--fault-load", description = "Load relative to capacity under faults")
  private double faultLoad = 0.7;

  @Parameter(names = "--seconds", description = "Virtual seconds of arrivals")
  private long seconds = 600;

  @Parameter(names = "--baselines", description = "Whether baselines run too", arity = 1)
  private boolean baselines = true;

  @Parameter(names = "--help", help = true, description = "Prints the options")
  private boolean help;

  private record Case(
      String deployment, double load, Set<Fault> faults, BaselinePolicy.Kind baseline) {}

  private SchedulingMeasurement() {}

  /** Runs the measurement with the options in {@code args}. */
  public static void main(String[] args) {
    SchedulingMeasurement measurement = new SchedulingMeasurement();
    JCommander commander = JCommander.newBuilder().addObject(measurement).build();
    commander.setProgramName("SchedulingMeasurement");
    commander.parse(args);
    if (measurement.help) {
      commander.usage();
      return;
    }
    Logger.getLogger("org.buckthornferry").setLevel(Level.OFF);
    measurement.run();
  }

  private void run() {
    System.out.println(
        "bound: every place of every engine always busy at full-batch speed, sizes known, highest"
            + " tier first; an estimate without prefix caching, so a run may exceed 100%");
    System.out.printf(
        Locale.ROOT,
        "%-9s %-18s %4s %-15s %8s %8s %8s %6s %7s %5s %5s %5s  %s%n",
        "service",
        "scheduler",
        "load",
        "faults",
        "critical",
        "standard",
        "bulk",
        "bound",
        "wasted",
        "cold",
        "over",
        "drain",
        "refusals and failures");
    cases().parallelStream().map(this::line).forEachOrdered(System.out::print);
  }

  private List<Case> cases() {
    List<String> deployments =
        deployment.equals("all") ? List.of("carnauba", "hooghly") : List.of(deployment);
    List<Double> loads = load > 0 ? List.of(load) : List.of(0.7, 1.0, 1.5, 2.5);
    List<Case> cases = new ArrayList<>();
    for (String name : deployments) {
      for (double level : loads) {
        cases.add(new Case(name, level, Set.of(), null));
        for (BaselinePolicy.Kind kind : BaselinePolicy.Kind.values()) {
          if (baselines) {
            cases.add(new Case(name, level, Set.of(), kind));
          }
        }
      }
      for (Set<Fault> faults : faultSets()) {
        cases.add(new Case(name, load > 0 ? load : faultLoad, faults, null));
      }
    }
    return cases;
  }

  private List<Set<Fault>> faultSets() {
    List<Set<Fault>> sets = new ArrayList<>();
    boolean single = fault.equals("single") || fault.equals("all");
    boolean pairs = fault.equals("pairs") || fault.equals("all");
    List<Fault> all = List.of(Fault.values());
    for (int i = 0; i < all.size(); i++) {
      if (single) {
        sets.add(EnumSet.of(all.get(i)));
      }
      for (int j = i + 1; pairs && j < all.size(); j++) {
        sets.add(EnumSet.of(all.get(i), all.get(j)));
      }
    }
    if (!single && !pairs && !fault.equals("none")) {
      EnumSet<Fault> named = EnumSet.noneOf(Fault.class);
      for (String name : fault.split(",", -1)) {
        named.add(Fault.valueOf(name));
      }
      sets.add(named);
    }
    return sets;
  }

  private String line(Case measured) {
    Simulation simulation =
        new Simulation(
            Scenario.named(measured.deployment), measured.load, measured.faults, seconds, seed);
    StringBuilder lines = new StringBuilder();
    simulation
        .run(measured.baseline)
        .forEach((serviceId, result) -> lines.append(line(measured, serviceId, result)));
    return lines.toString();
  }

  private static String line(Case measured, String serviceId, Result result) {
    String scheduler = measured.baseline == null ? "buckthornferry" : measured.baseline.name();
    StringBuilder names = new StringBuilder();
    measured.faults.forEach(name -> names.append(names.isEmpty() ? "" : "+").append(name));
    return String.format(
        Locale.ROOT,
        "%-9s %-18s %4.1f %-15s %8s %8s %8s %5.1f%% %6.2f%% %5d %5d %5d  %s %s late=%s%n",
        serviceId,
        scheduler.toLowerCase(Locale.ROOT),
        measured.load,
        names.isEmpty() ? "-" : names,
        goodput(result, Tier.CRITICAL),
        goodput(result, Tier.STANDARD),
        goodput(result, Tier.BULK),
        100 * result.boundShare(),
        100 * result.wastedShare(),
        result.coldExcess,
        result.coldViolations,
        result.dispatchesAfterDrain,
        result.refusals,
        result.failures,
        result.late);
  }

  private static String goodput(Result result, Tier tier) {
    return result.offered.containsKey(tier)
        ? String.format(Locale.ROOT, "%.2f%%", 100 * result.goodput(tier))
        : "-";
  }
}
