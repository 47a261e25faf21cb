package org.buckthornferry.catalog;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.buckthornferry.control.BlackboardEntry;
import org.buckthornferry.http.HttpLimits;

/** One immutable version of the configuration of routes, services and customers. */
public final class Catalog {
  /** The empty catalog before the first configuration is read. */
  public static final Catalog NONE =
      new Catalog(0, List.of(), List.of(), List.of(), HttpLimits.INTERNAL);

  /** The configuration in force. */
  public static final BlackboardEntry<Catalog> ENTRY = BlackboardEntry.of("catalog", NONE);

  private final long version;
  private final Map<String, Map<String, Route>> routesByHost = new HashMap<>();
  private final Map<String, Service> services = new HashMap<>();
  private final Map<String, Customer> customersByKey = new HashMap<>();
  private final Map<String, Customer> customersByName = new HashMap<>();
  private final HttpLimits limits;

  /**
   * Creates a catalog.
   *
   * @param limits the limits on callers' requests
   */
  public Catalog(
      long version,
      List<Route> routes,
      List<Service> services,
      List<Customer> customers,
      HttpLimits limits) {
    this.version = version;
    for (Route route : routes) {
      routesByHost
          .computeIfAbsent(route.host(), host -> new HashMap<>())
          .put(route.pathPrefix(), route);
    }
    services.forEach(service -> this.services.put(service.name(), service));
    for (Customer customer : customers) {
      customersByName.put(customer.name(), customer);
      customer.keys().forEach(key -> customersByKey.put(key, customer));
    }
    this.limits = limits;
  }

  /** Returns the version, which increases with every change. */
  public long version() {
    return version;
  }

  /** Returns the route of a host whose path prefix is the longest match, or empty. */
  public Optional<Route> route(String hostHeader, String path) {
    Map<String, Route> routes = routesByHost.get(hostName(hostHeader));
    if (routes == null) {
      return Optional.empty();
    }
    for (int end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
      Route route = routes.get(path.substring(0, end + 1));
      if (route != null) {
        return Optional.of(route);
      }
    }
    return Optional.empty();
  }

  /** Returns the service with a name, or empty. */
  public Optional<Service> service(String name) {
    return Optional.ofNullable(services.get(name));
  }

  /** Returns the customer with an API key, or empty. */
  public Optional<Customer> customerWithKey(String key) {
    return Optional.ofNullable(customersByKey.get(key));
  }

  /** Returns the customer with a name, or empty. */
  public Optional<Customer> customer(String name) {
    return Optional.ofNullable(customersByName.get(name));
  }

  /** Returns the names of all customers; when there are any, requests need an API key. */
  public Set<String> customerNames() {
    return Set.copyOf(customersByName.keySet());
  }

  /** Returns the names of all routes. */
  public Set<String> routeNames() {
    Set<String> names = new HashSet<>();
    routesByHost.values().forEach(routes -> routes.values().forEach(r -> names.add(r.name())));
    return names;
  }

  /** Returns all services. */
  public Collection<Service> services() {
    return services.values();
  }

  /** Returns the limits on callers' requests. */
  public HttpLimits limits() {
    return limits;
  }

  private static String hostName(String hostHeader) {
    int colon = hostHeader.lastIndexOf(':');
    boolean hasPort = colon > hostHeader.lastIndexOf(']');
    return (hasPort ? hostHeader.substring(0, colon) : hostHeader).toLowerCase(Locale.ROOT);
  }
}
