package org.buckthornferry.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.buckthornferry.admission.Tier;
import org.buckthornferry.config.CustomerDeclaration;
import org.buckthornferry.config.Declarations;
import org.buckthornferry.config.EndpointDeclaration;
import org.buckthornferry.config.FailureDomainDeclaration;
import org.buckthornferry.config.RouteDeclaration;
import org.buckthornferry.config.ServiceDeclaration;
import org.buckthornferry.config.ServiceKind;
import org.buckthornferry.config.TierDeclaration;

/** A deployment of section 1.1 of the design page with the true speeds and the mix of its load. */
record Scenario(
    String name, Declarations declarations, List<EngineSpec> engines, List<RouteLoad> routes) {
  private static final int MODEL_CONCURRENT = 12;
  private static final int PLAIN_CONCURRENT = 8;
  private static final String HASH = "0".repeat(64);

  /**
   * The load of one route.
   *
   * @param costShare the route's part of the cost of its service's load
   */
  record RouteLoad(
      String serviceId,
      RouteDeclaration route,
      double costShare,
      double deadlineSeconds,
      int sharedPrefixTokens) {
    double meanCostTokens() {
      return new org.buckthornferry.endpoint.RouteCost(
              (double) route.expectedPrefillTokens(), (double) route.expectedDecodeTokens())
          .costTokens();
    }
  }

  /** Returns the deployment with the given name, {@code carnauba} or {@code hooghly}. */
  static Scenario named(String name) {
    return switch (name) {
      case "carnauba" ->
          of(name, List.of("recife-a", "fortaleza-b", "natal-c"), "model", 8, "records");
      case "hooghly" -> of(name, List.of("kol-a", "kol-b", "kol-c"), "assistant", 6, "booking");
      default -> throw new IllegalArgumentException("unknown deployment " + name);
    };
  }

  private static Scenario of(
      String name, List<String> domains, String model, int workers, String plain) {
    List<EngineSpec> engines = new ArrayList<>();
    List<EndpointDeclaration> modelEndpoints = new ArrayList<>();
    for (int i = 0; i < workers; i++) {
      // Every third worker has older hardware at 60% of the speed.
      boolean old = i % 3 == 2;
      EndpointDeclaration declaration =
          endpoint(model, i, domains, old ? "gen1" : "gen2", MODEL_CONCURRENT, 2);
      modelEndpoints.add(declaration);
      engines.add(new EngineSpec(declaration, old ? 4_800 : 8_000, old ? 54 : 90, 0.07));
    }
    List<EndpointDeclaration> plainEndpoints = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      EndpointDeclaration declaration = endpoint(plain, i, domains, "gen2", PLAIN_CONCURRENT, 2);
      plainEndpoints.add(declaration);
      engines.add(new EngineSpec(declaration, 1_000, 20, 0));
    }
    // A report costs 100 times a question: 8,000 + 8 * 4,000 against 200 + 8 * 25 tokens.
    RouteDeclaration report = new RouteDeclaration("/report", Tier.CRITICAL, true, 8_000, 4_000);
    RouteDeclaration question = new RouteDeclaration("/question", Tier.STANDARD, true, 200, 25);
    RouteDeclaration summary = new RouteDeclaration("/summary", Tier.BULK, true, 4_000, 400);
    RouteDeclaration book = new RouteDeclaration("/book", Tier.CRITICAL, false, 1, 1);
    RouteDeclaration look = new RouteDeclaration("/look", Tier.STANDARD, true, 1, 1);
    List<TierDeclaration> tiers =
        List.of(
            new TierDeclaration(Tier.CRITICAL, 400_000, 120_000),
            new TierDeclaration(Tier.STANDARD, 8_000, 4_000),
            new TierDeclaration(Tier.BULK, 60_000, 30_000));
    List<CustomerDeclaration> customers = new ArrayList<>();
    for (int i = 0; i < 5; i++) {
      customers.add(new CustomerDeclaration("customer-" + i, HASH, i < 2 ? 3 : 1));
    }
    List<FailureDomainDeclaration> failureDomains =
        domains.stream().map(id -> new FailureDomainDeclaration(id, name, false)).toList();
    ServiceDeclaration modelService =
        new ServiceDeclaration(
            model,
            ServiceKind.MODEL,
            "v1",
            List.of(report, question, summary),
            tiers,
            modelEndpoints,
            Optional.empty());
    ServiceDeclaration plainService =
        new ServiceDeclaration(
            plain,
            ServiceKind.PLAIN,
            "v1",
            List.of(book, look),
            tiers,
            plainEndpoints,
            Optional.empty());
    return new Scenario(
        name,
        new Declarations(failureDomains, customers, List.of(modelService, plainService)),
        engines,
        List.of(
            new RouteLoad(model, report, 0.3, 400, 2_048),
            new RouteLoad(model, question, 0.35, 8, 128),
            new RouteLoad(model, summary, 0.35, 60, 1_024),
            new RouteLoad(plain, book, 0.35, 10, 0),
            new RouteLoad(plain, look, 0.65, 2, 0)));
  }

  private static EndpointDeclaration endpoint(
      String service, int i, List<String> domains, String hardware, int max, int cold) {
    return new EndpointDeclaration(
        service + "-" + i,
        "127.0.0.1:" + (9_000 + i),
        domains.get(i % domains.size()),
        "v1",
        hardware,
        max,
        cold,
        true);
  }

  /** Returns the capacity of a service in requests of its mix per second. */
  double capacityPerSecond(String serviceId) {
    double perSecond = 0;
    for (EngineSpec engine : engines) {
      if (engine.declaration().id().startsWith(serviceId + "-")) {
        perSecond += engine.declaration().maxConcurrent() / meanPlaceSeconds(serviceId, engine);
      }
    }
    return perSecond;
  }

  /** Returns the part of a route in the requests of its service. */
  double countShare(RouteLoad load) {
    double total = 0;
    for (RouteLoad other : routes) {
      if (other.serviceId().equals(load.serviceId())) {
        total += other.costShare() / other.meanCostTokens();
      }
    }
    return load.costShare() / load.meanCostTokens() / total;
  }

  private double meanPlaceSeconds(String serviceId, EngineSpec engine) {
    double seconds = 0;
    for (RouteLoad load : routes) {
      if (load.serviceId().equals(serviceId)) {
        RouteDeclaration route = load.route();
        seconds +=
            countShare(load)
                * engine.placeSeconds(
                    (double) route.expectedPrefillTokens(), (double) route.expectedDecodeTokens());
      }
    }
    return seconds;
  }
}
