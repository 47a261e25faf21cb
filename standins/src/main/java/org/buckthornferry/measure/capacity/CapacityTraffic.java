package org.buckthornferry.measure.capacity;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.buckthornferry.peer.Amounts;

/**
 * Measures bytes and messages a second and controller processor time of an instance, and the store
 * calls of the fleet. Every instance runs requests at 70% of the capacity on a share of the
 * endpoints: all of them up to 100, then 100 chosen ones.
 */
public final class CapacityTraffic {
  private static final int BOUND = 64;
  private static final int MAX_USED = 100;
  private static final int MAX_TRIES = 8;
  private static final double MEAN_SECONDS = 2.0;
  private static final double LOAD = 0.7;
  private static final int WARM_UP_TICKS = 500;
  private static final int TICKS = 300;

  private final VirtualFleet fleet;
  private final int used;

  private CapacityTraffic(int size, int endpoints) {
    fleet = new VirtualFleet(size, endpoints, BOUND, size > 32 ? 1_024 : 64, Math.min(21, size));
    used = Math.min(MAX_USED, endpoints);
  }

  /** Prints one line for each size. */
  public static void main(String[] args) {
    System.out.println(
        "instances endpoints bytes/s messages/s meanCpuPercent maxCpuPercent storeCalls/s byKind");
    List<Integer> sizes =
        args.length > 0 ? List.of(Integer.parseInt(args[0])) : List.of(8, 32, 128);
    for (int size : sizes) {
      for (int endpoints : List.of(10, 100, 1_000, 10_000)) {
        new CapacityTraffic(size, endpoints).measure();
      }
    }
  }

  private void measure() {
    for (int i = 0; i < WARM_UP_TICKS; i++) {
      fleet.step(this::work);
    }
    Map<String, Long> callsBefore = storeCalls();
    for (VirtualFleet.Instance instance : fleet.instances) {
      instance.sentBytes = 0;
      instance.sentMessages = 0;
      instance.busyNanos = 0;
    }
    for (int i = 0; i < TICKS; i++) {
      fleet.step(this::work);
    }
    print(callsBefore);
  }

  private void print(Map<String, Long> callsBefore) {
    double seconds = TICKS * VirtualFleet.TICK_NANOS / 1e9;
    int size = fleet.instances.size();
    long bytes = 0;
    long messages = 0;
    long busyNanos = 0;
    long mostBusyNanos = 0;
    for (VirtualFleet.Instance instance : fleet.instances) {
      bytes += instance.sentBytes;
      messages += instance.sentMessages;
      busyNanos += instance.busyNanos;
      mostBusyNanos = Math.max(mostBusyNanos, instance.busyNanos);
    }
    Map<String, String> calls = new TreeMap<>();
    double total = 0;
    for (Map.Entry<String, Long> entry : storeCalls().entrySet()) {
      double rate = (entry.getValue() - callsBefore.getOrDefault(entry.getKey(), 0L)) / seconds;
      calls.put(entry.getKey(), String.format(Locale.ROOT, "%.1f", rate));
      total += rate;
    }
    System.out.printf(
        Locale.ROOT,
        "%d %d %.0f %.1f %.2f %.2f %.1f %s%n",
        size,
        fleet.endpoints.size(),
        bytes / seconds / size,
        messages / seconds / size,
        busyNanos / seconds / size / 1e7,
        mostBusyNanos / seconds / 1e7,
        total,
        calls);
  }

  private Map<String, Long> storeCalls() {
    Map<String, Long> calls = new TreeMap<>();
    for (VirtualFleet.Instance instance : fleet.instances) {
      instance.shards.storeCalls().forEach((kind, count) -> calls.merge(kind, count, Long::sum));
    }
    return calls;
  }

  /** Starts Poisson arrivals on the endpoints that each instance uses. */
  private void work() {
    int size = fleet.instances.size();
    double loaded = Math.min(fleet.endpoints.size(), (double) used * size);
    double perInstance = LOAD * BOUND * loaded / MEAN_SECONDS / 100 / size;
    for (int i = 0; i < size; i++) {
      VirtualFleet.Instance instance = fleet.instances.get(i);
      int count = (int) (perInstance + fleet.random.nextDouble());
      for (int k = 0; k < count; k++) {
        start(instance, choose(i, instance));
      }
    }
  }

  /** Returns a random endpoint with room, as routing chooses, or a random one without. */
  private String choose(int index, VirtualFleet.Instance instance) {
    int offset = fleet.random.nextInt(used);
    for (int k = 0; k < Math.min(used, MAX_TRIES); k++) {
      String endpoint = endpoint(index, offset + k);
      if (instance.holder.available(endpoint, fleet.now()) > 0) {
        return endpoint;
      }
    }
    return endpoint(index, offset);
  }

  private String endpoint(int index, int number) {
    return fleet.endpoints.get((index * used + number % used) % fleet.endpoints.size());
  }

  private void start(VirtualFleet.Instance instance, String endpoint) {
    if (!instance.holder.tryAcquire(endpoint, fleet.now())) {
      return;
    }
    fleet.running.merge(endpoint, 1, Integer::sum);
    double seconds = -Math.log(1 - fleet.random.nextDouble()) * MEAN_SECONDS;
    fleet.at(
        (long) (seconds * 1e9),
        () -> {
          fleet.running.merge(endpoint, -1, Integer::sum);
          instance.holder.release(endpoint, Amounts.ONE_REQUEST, fleet.now());
        });
  }
}
