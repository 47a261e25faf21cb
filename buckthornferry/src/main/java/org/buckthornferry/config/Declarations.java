package org.buckthornferry.config;

import java.util.List;
import org.buckthornferry.util.Checks;

/** All declarations of the operators, validated together and published as a unit. */
public record Declarations(
    List<FailureDomainDeclaration> failureDomains,
    List<CustomerDeclaration> customers,
    List<ServiceDeclaration> services) {
  /** Empty declarations. */
  public static final Declarations EMPTY = new Declarations(List.of(), List.of(), List.of());

  /** Copies the lists. */
  public Declarations {
    failureDomains = List.copyOf(Checks.notNull(failureDomains, "failureDomains"));
    customers = List.copyOf(Checks.notNull(customers, "customers"));
    services = List.copyOf(Checks.notNull(services, "services"));
  }

  /** Returns whether a failure domain is declared as drained. */
  public boolean isDrained(String failureDomain) {
    for (FailureDomainDeclaration declaration : failureDomains) {
      if (declaration.id().equals(failureDomain)) {
        return declaration.drained();
      }
    }
    return false;
  }
}
