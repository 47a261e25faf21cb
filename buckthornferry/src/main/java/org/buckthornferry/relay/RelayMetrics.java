package org.buckthornferry.relay;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.UniformReservoir;
import java.util.EnumMap;
import java.util.Map;
import org.buckthornferry.error.ErrorKind;

/** Counters and latency histograms for the requests of an instance. */
final class RelayMetrics {
  final Counter admitted;
  final Counter served;
  final Counter sent;
  final Counter retried;
  final Counter resumed;
  final Counter truncated;
  final Counter callersDisconnected;
  final Counter reservationsRefused;
  final Counter forwarded;
  final Counter forwardedForOthers;
  final Counter forwardingRefused;
  final Histogram firstEventMillis;
  final Histogram waitedMillis;
  final Histogram totalMillis;
  private final Map<ErrorKind, Counter> failures = new EnumMap<>(ErrorKind.class);

  RelayMetrics(MetricRegistry registry) {
    admitted = registry.counter("relay.admitted");
    served = registry.counter("relay.served");
    sent = registry.counter("relay.sent");
    retried = registry.counter("relay.repeated");
    resumed = registry.counter("relay.resumed");
    truncated = registry.counter("relay.cut");
    callersDisconnected = registry.counter("relay.callers_left");
    reservationsRefused = registry.counter("relay.reservations_refused");
    forwarded = registry.counter("relay.forwarded");
    forwardedForOthers = registry.counter("relay.forwarded_for_others");
    forwardingRefused = registry.counter("relay.forwarding_refused");
    firstEventMillis = histogram(registry, "relay.first_event_millis");
    waitedMillis = histogram(registry, "relay.waited_millis");
    totalMillis = histogram(registry, "relay.total_millis");
    for (ErrorKind kind : ErrorKind.values()) {
      failures.put(
          kind, registry.counter("relay.failed." + kind.name().toLowerCase(java.util.Locale.ROOT)));
    }
  }

  Counter failed(ErrorKind kind) {
    return failures.get(kind);
  }

  private static Histogram histogram(MetricRegistry registry, String name) {
    return registry.register(name, new Histogram(new UniformReservoir()));
  }
}
