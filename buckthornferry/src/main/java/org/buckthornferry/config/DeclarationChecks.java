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

/** Checks declarations that satisfy their schemas against each other, and collects them. */
final class DeclarationChecks {
  /** The largest number of endpoints of all services; twice the design size. */
  static final int MAX_ENDPOINTS = 20_000;

  private final List<ConfigProblem> problems;
  private final List<FailureDomainDeclaration> failureDomains = new ArrayList<>();
  private final List<CustomerDeclaration> customers = new ArrayList<>();
  private final List<ServiceDeclaration> services = new ArrayList<>();
  private final Map<String, String> firstUse = new HashMap<>();
  private final Map<String, Reference> domainReferences = new LinkedHashMap<>();
  private boolean failureDomainsKnown;
  private int endpointCount;

  private record Reference(String file, String path, String failureDomain) {}

  DeclarationChecks(List<ConfigProblem> problems) {
    this.problems = problems;
  }

  void failureDomains(String file, JsonNode tree) {
    failureDomainsKnown = true;
    for (int i = 0; i < tree.size(); i++) {
      JsonNode domain = tree.get(i);
      unique(file, "$[" + i + "].id", "failure domain", domain.get("id").textValue());
      failureDomains.add(
          new FailureDomainDeclaration(
              domain.get("id").textValue(),
              domain.get("region").textValue(),
              domain.path("drained").asBoolean(false)));
    }
  }

  void customers(String file, JsonNode tree) {
    for (int i = 0; i < tree.size(); i++) {
      JsonNode customer = tree.get(i);
      unique(file, "$[" + i + "].id", "customer", customer.get("id").textValue());
      unique(file, "$[" + i + "].keySha256", "customer key", customer.get("keySha256").textValue());
      customers.add(DeclarationLoader.convert(customer, CustomerDeclaration.class));
    }
  }

  void service(String file, JsonNode tree) {
    final int before = problems.size();
    unique(file, "$.id", "service", tree.get("id").textValue());
    Set<String> tiers = checkTiers(file, tree.get("tiers"));
    checkRoutes(file, tree.get("routes"), tiers);
    Set<String> versions = checkEndpoints(file, tree.get("endpoints"));
    requireVersion(file, "$.activeVersion", tree.get("activeVersion").textValue(), versions);
    if (tree.hasNonNull("rollout")) {
      checkRollout(file, tree, versions);
    }
    if (problems.size() == before) {
      services.add(DeclarationLoader.convert(tree, ServiceDeclaration.class));
    }
  }

  /** Checks what needs every file. */
  void whole() {
    if (failureDomainsKnown) {
      Set<String> known = new TreeSet<>();
      failureDomains.forEach(domain -> known.add(domain.id()));
      for (Reference reference : domainReferences.values()) {
        if (!known.contains(reference.failureDomain)) {
          add(reference.file, reference.path, reference.failureDomain, "one of " + known);
        }
      }
    }
    if (endpointCount > MAX_ENDPOINTS) {
      add(
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
        add(file, "$.tiers[" + i + "].tier", tier, "each tier once");
      }
    }
    return declared;
  }

  private void checkRoutes(String file, JsonNode routes, Set<String> tiers) {
    for (int i = 0; i < routes.size(); i++) {
      JsonNode route = routes.get(i);
      unique(file, "$.routes[" + i + "].path", "route", route.get("path").textValue());
      String tier = route.get("tier").textValue();
      if (!tiers.contains(tier)) {
        add(file, "$.routes[" + i + "].tier", tier, "one of the service's tiers " + tiers);
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
      unique(file, path + ".id", "endpoint", endpoint.get("id").textValue());
      String address = endpoint.get("address").textValue();
      unique(file, path + ".address", "endpoint address", address);
      if (!SettingsChecks.isAddress(address)) {
        add(file, path + ".address", address, "an IP address and a port from 1 to 65535");
      }
      int maxConcurrent = endpoint.get("maxConcurrent").intValue();
      int coldConcurrent = endpoint.get("coldConcurrent").intValue();
      if (coldConcurrent > maxConcurrent) {
        add(
            file,
            path + ".coldConcurrent",
            String.valueOf(coldConcurrent),
            "at most maxConcurrent = " + maxConcurrent);
      }
      domainReferences.put(
          file + path,
          new Reference(file, path + ".failureDomain", endpoint.get("failureDomain").textValue()));
    }
    return versions;
  }

  private void checkRollout(String file, JsonNode service, Set<String> versions) {
    JsonNode rollout = service.get("rollout");
    String from = rollout.get("fromVersion").textValue();
    String to = rollout.get("toVersion").textValue();
    String active = service.get("activeVersion").textValue();
    if (!from.equals(active)) {
      add(file, "$.rollout.fromVersion", from, "the activeVersion " + active);
    }
    if (to.equals(from)) {
      add(file, "$.rollout.toVersion", to, "a version other than fromVersion");
    }
    requireVersion(file, "$.rollout.toVersion", to, versions);
    checkShareSteps(file, rollout.get("shareSteps"));
    String moveBy = rollout.get("moveBy").textValue();
    try {
      Instant.parse(moveBy);
    } catch (DateTimeException e) {
      add(file, "$.rollout.moveBy", moveBy, "an existing time such as 2026-01-31T06:00:00Z");
    }
  }

  private void checkShareSteps(String file, JsonNode steps) {
    double previous = 0;
    for (int i = 0; i < steps.size(); i++) {
      double step = steps.get(i).doubleValue();
      if (step <= previous) {
        add(file, "$.rollout.shareSteps[" + i + "]", String.valueOf(step), "above " + previous);
      }
      previous = step;
    }
    if (previous != 1.0) {
      int last = steps.size() - 1;
      add(file, "$.rollout.shareSteps[" + last + "]", String.valueOf(previous), "1 as last step");
    }
  }

  private void requireVersion(String file, String path, String version, Set<String> versions) {
    if (!versions.contains(version)) {
      add(file, path, version, "a version that an endpoint runs: " + versions);
    }
  }

  private void unique(String file, String path, String kind, String value) {
    String place = file + " " + path;
    String first = firstUse.putIfAbsent(kind + ":" + value, place);
    if (first != null) {
      add(file, path, value, "a " + kind + " that is not declared at " + first);
    }
  }

  private void add(String file, String path, String value, String allowed) {
    problems.add(new ConfigProblem(file, path, value, allowed));
  }
}
