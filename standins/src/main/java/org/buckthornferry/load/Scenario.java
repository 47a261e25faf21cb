package org.buckthornferry.load;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.buckthornferry.config.Json;
import org.buckthornferry.util.Checks;

/**
 * What the load tool sends.
 *
 * @param seed the seed of all random choices
 * @param targets the caller addresses of the entry instances
 * @param customerKeys the secret key of each customer id
 * @param maxRepeats the repeats of one request by its caller
 * @param maxTotalWaitSeconds the longest time for outstanding requests after the last phase
 * @param engines the addresses of the engine stand-ins, for direct runs, waste and logs
 * @param services the addresses of the plain-service stand-ins
 * @param actions admin calls in the course of the scenario
 */
public record Scenario(
    String name,
    long seed,
    List<String> targets,
    Map<String, String> customerKeys,
    int maxRepeats,
    double maxTotalWaitSeconds,
    List<String> engines,
    List<String> services,
    List<RequestClass> classes,
    List<Phase> phases,
    List<Action> actions) {
  /** Copies the lists and checks the values. */
  public Scenario {
    Checks.notEmpty(name, "name");
    targets = List.copyOf(Checks.notNull(targets, "targets"));
    customerKeys = Map.copyOf(Checks.notNull(customerKeys, "customerKeys"));
    Checks.notNegative(maxRepeats, "maxRepeats");
    Checks.check(maxTotalWaitSeconds >= 0, "maxTotalWaitSeconds must not be negative");
    engines = List.copyOf(Checks.notNull(engines, "engines"));
    services = List.copyOf(Checks.notNull(services, "services"));
    classes = List.copyOf(Checks.notNull(classes, "classes"));
    phases = List.copyOf(Checks.notNull(phases, "phases"));
    actions = actions == null ? List.of() : List.copyOf(actions);
    for (RequestClass requestClass : classes) {
      Checks.check(
          customerKeys.containsKey(requestClass.customer()),
          "class " + requestClass.name() + " has an unknown customer " + requestClass.customer());
    }
  }

  /**
   * Reads a scenario file.
   *
   * @throws IOException when the file cannot be read or is malformed
   */
  public static Scenario read(Path path) throws IOException {
    return Json.MAPPER.readValue(path.toFile(), Scenario.class);
  }

  /** Returns the scenario with all rates multiplied and all phases shortened or prolonged. */
  public Scenario scaled(double rateFactor, double secondsFactor) {
    List<Phase> scaledPhases =
        phases.stream()
            .map(
                phase ->
                    new Phase(
                        phase.name(),
                        phase.seconds() * secondsFactor,
                        phase.rateFactor() * rateFactor,
                        phase.measured()))
            .toList();
    List<Action> scaledActions =
        actions.stream()
            .map(a -> new Action(a.atSeconds() * secondsFactor, a.method(), a.url(), a.body()))
            .toList();
    return new Scenario(
        name,
        seed,
        targets,
        customerKeys,
        maxRepeats,
        maxTotalWaitSeconds,
        engines,
        services,
        classes,
        scaledPhases,
        scaledActions);
  }

  /** Returns the scenario with other entry addresses. */
  public Scenario withTargets(List<String> newTargets) {
    return new Scenario(
        name,
        seed,
        newTargets,
        customerKeys,
        maxRepeats,
        maxTotalWaitSeconds,
        engines,
        services,
        classes,
        phases,
        actions);
  }

  /** Returns the duration of all phases. */
  public double totalSeconds() {
    return phases.stream().mapToDouble(Phase::seconds).sum();
  }
}
