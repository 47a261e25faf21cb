package org.buckthornferry.node;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.buckthornferry.config.ConfigSnapshot;
import org.buckthornferry.config.CustomerDeclaration;
import org.buckthornferry.config.RouteDeclaration;
import org.buckthornferry.config.ServiceDeclaration;

/** Looks up customers by key hash and routes by path in one configuration revision. */
final class RequestCatalog {
  private final long revision;
  private final Map<String, CustomerDeclaration> customersByKeyHash = new HashMap<>();
  private final Map<String, Target> targetsByPath = new HashMap<>();

  /** A route and the service that declares it. */
  record Target(ServiceDeclaration service, RouteDeclaration route) {}

  RequestCatalog(ConfigSnapshot config) {
    revision = config.revision();
    for (CustomerDeclaration customer : config.declarations().customers()) {
      customersByKeyHash.put(customer.keySha256(), customer);
    }
    for (ServiceDeclaration service : config.declarations().services()) {
      for (RouteDeclaration route : service.routes()) {
        targetsByPath.put(route.path(), new Target(service, route));
      }
    }
  }

  long revision() {
    return revision;
  }

  Optional<CustomerDeclaration> customer(String keySha256) {
    return Optional.ofNullable(customersByKeyHash.get(keySha256));
  }

  Optional<Target> target(String path) {
    return Optional.ofNullable(targetsByPath.get(path));
  }
}
