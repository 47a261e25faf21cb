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
  private final Map<String, Missing> missing = new HashMap<>();
  private long graceUntilNanos;
  private boolean inGrace;

  private record Known(long revision, Optional<Endpoint> endpoint) {}

  private record Missing(Endpoint endpoint, long untilNanos) {}

  EndpointTracker(BiFunction<StoreItem, Long, Optional<Endpoint>> decoder) {
    this.decoder = decoder;
  }

  /** The store has come back after an outage. */
  void onStoreBack(long nowNanos) {
    inGrace = true;
    graceUntilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(LAPSE_GRACE_MILLIS);
    missing.replaceAll((key, entry) -> new Missing(entry.endpoint, graceUntilNanos));
  }

  /** Takes over the registrations. */
  void update(Collection<StoreItem> items, boolean storeReachable, long nowNanos) {
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
      boolean mayHaveLapsed = inGrace || !storeReachable;
      LOG.infof("endpoint.gone key=%s mayHaveLapsed=%s", gone.getKey(), mayHaveLapsed);
      if (mayHaveLapsed && gone.getValue().endpoint.isPresent()) {
        long untilNanos = inGrace ? graceUntilNanos : Long.MAX_VALUE;
        missing.put(gone.getKey(), new Missing(gone.getValue().endpoint.get(), untilNanos));
      }
    }
  }

  /** Returns the endpoints that may get requests. */
  List<Endpoint> usable(Set<String> evacuatedDomains, long nowNanos) {
    missing
        .values()
        .removeIf(entry -> entry.untilNanos != Long.MAX_VALUE && entry.untilNanos - nowNanos <= 0);
    List<Endpoint> usable = new ArrayList<>();
    for (Known entry : known.values()) {
      entry.endpoint.filter(e -> isUsable(e, evacuatedDomains)).ifPresent(usable::add);
    }
    for (Missing entry : missing.values()) {
      if (isUsable(entry.endpoint, evacuatedDomains)) {
        usable.add(entry.endpoint);
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
