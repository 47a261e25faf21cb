package org.buckthornferry.config;

import java.util.List;
import java.util.Optional;
import org.buckthornferry.admission.Tier;

/** Small valid declarations for tests. */
public final class TestDeclarations {
  private TestDeclarations() {}

  /** Returns declarations with one customer of the given weight, to tell revisions apart. */
  public static Declarations withWeight(int weight) {
    return new Declarations(
        List.of(
            new FailureDomainDeclaration("kol-a", "kol", false),
            new FailureDomainDeclaration("kol-b", "kol", false)),
        List.of(new CustomerDeclaration("c", "0".repeat(64), weight)),
        List.of(service()));
  }

  static ServiceDeclaration service() {
    return new ServiceDeclaration(
        "booking",
        ServiceKind.PLAIN,
        "v1",
        List.of(new RouteDeclaration("/loans", Tier.CRITICAL, false, 1, 1)),
        List.of(new TierDeclaration(Tier.CRITICAL, 5_000, 2_000)),
        List.of(new EndpointDeclaration("b1", "127.0.0.1:9001", "kol-a", "v1", "cpu", 8, 2, true)),
        Optional.empty());
  }
}
