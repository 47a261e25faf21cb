package org.buckthornferry.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import org.buckthornferry.catalog.Endpoint;
import org.buckthornferry.store.StoreItem;
import org.buckthornferry.store.StorePosition;
import org.jboss.logging.Logger;

/**
 * Determines which registered endpoints may get requests. A registration that disappears around a
 * store outage may have lapsed or, if the store was restored, may be lost although its endpoint is
 * alive, so it stays valid for the rest of a grace period after that outage. Later outages do not
 * prolong it.
 */
final class EndpointTracker {
  private static final Logger LOG = Logger.getLogger(EndpointTracker.class);

  /** How long after a store outage lapsed registrations stay valid, in milliseconds. */
  static final long LAPSE_GRACE_MILLIS = 2_000;

  private final BiFunction<StoreItem, Long, Optional<Endpoint>> decoder;
  private final Map<String, Registration> registrations = new HashMap<>();
  private final Map<String, LapsedRegistration> lapsed = new HashMap<>();
  private long graceUntilNanos;
  private boolean isInGracePeriod;

  private record Registration(StorePosition since, Optional<Endpoint> endpoint) {}

  private record LapsedRegistration(Endpoint endpoint, long usableUntilNanos) {}

  EndpointTracker(BiFunction<StoreItem, Long, Optional<Endpoint>> decoder) {
    this.decoder = decoder;
  }

  /** Starts the grace period after a store outage. */
  void onStoreRecovered(long nowNanos) {
    isInGracePeriod = true;
    graceUntilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(LAPSE_GRACE_MILLIS);
  }

  /** Applies the current registrations. */
  void update(Collection<StoreItem> items, long nowNanos) {
    if (isInGracePeriod && graceUntilNanos - nowNanos <= 0) {
      isInGracePeriod = false;
    }
    Map<String, Registration> before = new HashMap<>(registrations);
    registrations.clear();
    for (StoreItem item : items) {
      if (item.isLost()) {
        continue;
      }
      Registration last = before.remove(item.key());
      if (last != null && last.since.equals(item.since())) {
        registrations.put(item.key(), last);
        continue;
      }
      Registration read = new Registration(item.since(), decoder.apply(item, nowNanos));
      registrations.put(item.key(), read);
      lapsed.remove(item.key());
      logChange(item, last, read);
    }
    for (Map.Entry<String, Registration> gone : before.entrySet()) {
      LOG.infof("endpoint.gone key=%s mayHaveLapsed=%s", gone.getKey(), isInGracePeriod);
      if (isInGracePeriod && gone.getValue().endpoint.isPresent()) {
        lapsed.put(
            gone.getKey(), new LapsedRegistration(gone.getValue().endpoint.get(), graceUntilNanos));
      }
    }
  }

  /** Returns the endpoints that may get requests. */
  List<Endpoint> usable(Set<String> evacuatedDomains, long nowNanos) {
    lapsed.values().removeIf(registration -> registration.usableUntilNanos - nowNanos <= 0);
    List<Endpoint> usable = new ArrayList<>();
    for (Registration entry : registrations.values()) {
      entry.endpoint.filter(e -> isUsable(e, evacuatedDomains)).ifPresent(usable::add);
    }
    for (LapsedRegistration registration : lapsed.values()) {
      if (isUsable(registration.endpoint, evacuatedDomains)) {
        usable.add(registration.endpoint);
      }
    }
    return usable;
  }

  private static boolean isUsable(Endpoint endpoint, Set<String> evacuatedDomains) {
    return !endpoint.isDraining() && !evacuatedDomains.contains(endpoint.failureDomain());
  }

  private static void logChange(StoreItem item, Registration last, Registration read) {
    if (read.endpoint.isEmpty()) {
      LOG.infof("endpoint.unusable key=%s revision=%d", item.key(), item.revision());
      return;
    }
    Endpoint endpoint = read.endpoint.get();
    LOG.infof(
        "endpoint.registered key=%s revision=%d isNew=%s service=%s address=%s domain=%s"
            + " version=%s draining=%s coldMillis=%d",
        item.key(),
        item.revision(),
        last == null,
        endpoint.serviceName(),
        endpoint.address(),
        endpoint.failureDomain(),
        endpoint.version(),
        endpoint.isDraining(),
        endpoint.coldMillis());
  }
}
