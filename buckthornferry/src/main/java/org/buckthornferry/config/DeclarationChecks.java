package org.buckthornferry.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.DateTimeException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Collects declarations that satisfy their schemas and checks constraints across properties and
 * files.
 */
final class DeclarationChecks {
  /** The largest number of endpoints of all services; twice the number designed for. */
  static final int MAX_ENDPOINTS = 20_000;

  private final List<ConfigProblem> problems;
  private final List<FailureDomainDeclaration> failureDomains = new ArrayList<>();
  private final List<CustomerDeclaration> customers = new ArrayList<>();
  private final List<ServiceDeclaration> services = new ArrayList<>();
  private final Map<String, String> firstLocations = new HashMap<>();
  private final Map<String, DomainReference> domainReferences = new LinkedHashMap<>();
  private boolean failureDomainsLoaded;
  private int endpointCount;

  private record DomainReference(String file, String path, String failureDomain) {}

  DeclarationChecks(List<ConfigProblem> problems) {
    this.problems = problems;
  }

  void addFailureDomains(String file, JsonNode tree) {
    failureDomainsLoaded = true;
    for (int i = 0; i < tree.size(); i++) {
      JsonNode domain = tree.get(i);
      requireUnique(file, "$[" + i + "].id", "failure domain", domain.get("id").textValue());
      failureDomains.add(
          new FailureDomainDeclaration(
              domain.get("id").textValue(),
              domain.get("region").textValue(),
              domain.path("drained").asBoolean(false)));
    }
  }

  void addCustomers(String file, JsonNode tree) {
    for (int i = 0; i < tree.size(); i++) {
      JsonNode customer = tree.get(i);
      requireUnique(file, "$[" + i + "].id", "customer", customer.get("id").textValue());
      requireUnique(
          file, "$[" + i + "].keySha256", "customer key", customer.get("keySha256").textValue());
      customers.add(DeclarationLoader.convert(customer, CustomerDeclaration.class));
    }
  }

  void addService(String file, JsonNode tree) {
    final int problemsBefore = problems.size();
    requireUnique(file, "$.id", "service", tree.get("id").textValue());
    Set<String> tiers = checkTiers(file, tree.get("tiers"));
    checkRoutes(file, tree.get("routes"), tiers);
    Set<String> versions = checkEndpoints(file, tree.get("endpoints"));
    requireVersion(file, "$.activeVersion", tree.get("activeVersion").textValue(), versions);
    if (tree.hasNonNull("rollout")) {
      checkRollout(file, tree, versions);
    }
    if (problems.size() == problemsBefore) {
      services.add(DeclarationLoader.convert(tree, ServiceDeclaration.class));
    }
  }

  /** Checks constraints that involve all files, after the last one was added. */
  void checkAcrossFiles() {
    if (failureDomainsLoaded) {
      Set<String> known = new TreeSet<>();
      failureDomains.forEach(domain -> known.add(domain.id()));
      for (DomainReference reference : domainReferences.values()) {
        if (!known.contains(reference.failureDomain)) {
          addProblem(reference.file, reference.path, reference.failureDomain, "one of " + known);
        }
      }
    }
    if (endpointCount > MAX_ENDPOINTS) {
      addProblem(
          "*.service.json",
          "$.endpoints",
          endpointCount + " endpoints in all",
          "at most " + MAX_ENDPOINTS);
    }
  }

  Declarations declarations() {
    return new Declarations(failureDomains, customers, services);
  }

  private Set<String> checkTiers(String file, JsonNode tiers) {
    Set<String> declared = new TreeSet<>();
    for (int i = 0; i < tiers.size(); i++) {
      String tier = tiers.get(i).get("tier").textValue();
      if (!declared.add(tier)) {
        addProblem(file, "$.tiers[" + i + "].tier", tier, "each tier once");
      }
    }
    return declared;
  }

  private void checkRoutes(String file, JsonNode routes, Set<String> tiers) {
    for (int i = 0; i < routes.size(); i++) {
      JsonNode route = routes.get(i);
      requireUnique(file, "$.routes[" + i + "].path", "route", route.get("path").textValue());
      String tier = route.get("tier").textValue();
      if (!tiers.contains(tier)) {
        addProblem(file, "$.routes[" + i + "].tier", tier, "one of the service's tiers " + tiers);
      }
    }
  }

  private Set<String> checkEndpoints(String file, JsonNode endpoints) {
    Set<String> versions = new TreeSet<>();
    for (int i = 0; i < endpoints.size(); i++) {
      JsonNode endpoint = endpoints.get(i);
      String path = "$.endpoints[" + i + "]";
      endpointCount++;
      versions.add(endpoint.get("version").textValue());
      requireUnique(file, path + ".id", "endpoint", endpoint.get("id").textValue());
      String address = endpoint.get("address").textValue();
      requireUnique(file, path + ".address", "endpoint address", address);
      if (!SettingsChecks.isAddress(address)) {
        addProblem(file, path + ".address", address, "an IP address and a port from 1 to 65535");
      }
      int maxConcurrent = endpoint.get("maxConcurrent").intValue();
      int coldConcurrent = endpoint.get("coldConcurrent").intValue();
      if (coldConcurrent > maxConcurrent) {
        addProblem(
            file,
            path + ".coldConcurrent",
            String.valueOf(coldConcurrent),
            "at most maxConcurrent = " + maxConcurrent);
      }
      domainReferences.put(
          file + path,
          new DomainReference(
              file, path + ".failureDomain", endpoint.get("failureDomain").textValue()));
    }
    return versions;
  }

  private void checkRollout(String file, JsonNode service, Set<String> versions) {
    JsonNode rollout = service.get("rollout");
    String from = rollout.get("fromVersion").textValue();
    String to = rollout.get("toVersion").textValue();
    String active = service.get("activeVersion").textValue();
    if (!from.equals(active)) {
      addProblem(file, "$.rollout.fromVersion", from, "the activeVersion " + active);
    }
    if (to.equals(from)) {
      addProblem(file, "$.rollout.toVersion", to, "a version other than fromVersion");
    }
    requireVersion(file, "$.rollout.toVersion", to, versions);
    checkShareSteps(file, rollout.get("shareSteps"));
    String moveBy = rollout.get("moveBy").textValue();
    try {
      Instant.parse(moveBy);
    } catch (DateTimeException e) {
      addProblem(file, "$.rollout.moveBy", moveBy, "an existing time such as 2026-01-31T06:00:00Z");
    }
  }

  private void checkShareSteps(String file, JsonNode steps) {
    double previous = 0;
    for (int i = 0; i < steps.size(); i++) {
      double step = steps.get(i).doubleValue();
      if (step <= previous) {
        addProblem(
            file, "$.rollout.shareSteps[" + i + "]", String.valueOf(step), "above " + previous);
      }
      previous = step;
    }
    if (previous != 1.0) {
      int last = steps.size() - 1;
      addProblem(
          file, "$.rollout.shareSteps[" + last + "]", String.valueOf(previous), "1 as last step");
    }
  }

  private void requireVersion(String file, String path, String version, Set<String> versions) {
    if (!versions.contains(version)) {
      addProblem(file, path, version, "a version that an endpoint runs: " + versions);
    }
  }

  private void requireUnique(String file, String path, String kind, String value) {
    String location = file + " " + path;
    String first = firstLocations.putIfAbsent(kind + ":" + value, location);
    if (first != null) {
      addProblem(file, path, value, "a " + kind + " that is not declared at " + first);
    }
  }

  private void addProblem(String file, String path, String value, String allowed) {
    problems.add(new ConfigProblem(file, path, value, allowed));
  }
}
