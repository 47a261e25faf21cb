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
import org.jboss.logging.Logger;

/**
 * Decides which registered endpoints may get requests. A registration that vanishes while the store
 * is disturbed may have lapsed although its endpoint lives, so it counts for a little longer.
 */
final class EndpointTracker {
  private static final Logger LOG = Logger.getLogger(EndpointTracker.class);

  /** How long after an outage lapsed registrations may take to come back, in milliseconds. */
  static final long LAPSE_GRACE_MILLIS = 2_000;

  private final BiFunction<StoreItem, Long, Optional<Endpoint>> decoder;
  private final Map<String, Known> known = new HashMap<>();
  private final Map<String, Endpoint> missing = new HashMap<>();
  private long graceUntilNanos;
  private boolean inGrace;

  private record Known(long revision, Optional<Endpoint> endpoint) {}

  EndpointTracker(BiFunction<StoreItem, Long, Optional<Endpoint>> decoder) {
    this.decoder = decoder;
  }

  /** The store has come back after an outage. */
  void onStoreBack(long nowNanos) {
    inGrace = true;
    graceUntilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(LAPSE_GRACE_MILLIS);
  }

  /** Takes over the registrations. */
  void update(Collection<StoreItem> items, long nowNanos) {
    if (inGrace && graceUntilNanos - nowNanos <= 0) {
      inGrace = false;
    }
    Map<String, Known> before = new HashMap<>(known);
    known.clear();
    for (StoreItem item : items) {
      Known last = before.remove(item.key());
      if (last != null && last.revision == item.revision()) {
        known.put(item.key(), last);
        continue;
      }
      Known read = new Known(item.revision(), decoder.apply(item, nowNanos));
      known.put(item.key(), read);
      missing.remove(item.key());
      logChange(item, last, read);
    }
    for (Map.Entry<String, Known> gone : before.entrySet()) {
      LOG.infof("endpoint.gone key=%s mayHaveLapsed=%s", gone.getKey(), inGrace);
      if (inGrace && gone.getValue().endpoint.isPresent()) {
        missing.put(gone.getKey(), gone.getValue().endpoint.get());
      }
    }
  }

  /** Returns the endpoints that may get requests. */
  List<Endpoint> usable(Set<String> evacuatedDomains, long nowNanos) {
    if (graceUntilNanos - nowNanos <= 0) {
      missing.clear();
    }
    List<Endpoint> usable = new ArrayList<>();
    for (Known entry : known.values()) {
      entry.endpoint.filter(e -> isUsable(e, evacuatedDomains)).ifPresent(usable::add);
    }
    for (Endpoint endpoint : missing.values()) {
      if (isUsable(endpoint, evacuatedDomains)) {
        usable.add(endpoint);
      }
    }
    return usable;
  }

  private static boolean isUsable(Endpoint endpoint, Set<String> evacuatedDomains) {
    return !endpoint.isDraining() && !evacuatedDomains.contains(endpoint.failureDomain());
  }

  private static void logChange(StoreItem item, Known last, Known read) {
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
