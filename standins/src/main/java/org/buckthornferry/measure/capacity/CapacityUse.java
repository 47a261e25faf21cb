package org.buckthornferry.measure.capacity;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.buckthornferry.peer.Amounts;

/**
 * Measures how much of the capacity of endpoints is used under overload, and how far they are
 * overrun, with grants and with two baselines. Instance 0 receives two thirds of the requests.
 */
public final class CapacityUse {
  private static final int INSTANCES = 8;
  private static final int ENDPOINTS = 10;
  private static final int BOUND = 16;
  private static final double LOAD = 2.5;
  private static final double MEAN_SECONDS = 1.0;
  private static final int WARM_UP_TICKS = 800;

  private enum Mode {
    GRANTS,
    WHOLE_BOUND,
    EQUAL_SPLIT
  }

  private enum Fault {
    NONE(3_000),
    DEAD_OWNER(3_000),
    STORE_DOWN_60_S(6_000),
    PAUSED_OWNER_5_S(3_000),
    HALF_KILLED(3_000);

    private final int ticks;

    Fault(int ticks) {
      this.ticks = ticks;
    }
  }

  private final Mode mode;
  private final VirtualFleet fleet = new VirtualFleet(INSTANCES, ENDPOINTS, BOUND, 64, 3);
  private final double[] queued = new double[INSTANCES];
  private final Map<String, int[]> own = new HashMap<>();
  private double used;
  private double worstSecond = 1;
  private double second;
  private int secondTicks;
  private int largest;

  private CapacityUse(Mode mode) {
    this.mode = mode;
    fleet.endpoints.forEach(endpoint -> own.put(endpoint, new int[INSTANCES]));
  }

  /** Prints one line for each fault and mode. */
  public static void main(String[] args) {
    System.out.println("fault mode usedShare worstSecondShare largestOvershoot");
    for (Fault fault : Fault.values()) {
      for (Mode mode : Mode.values()) {
        new CapacityUse(mode).measure(fault);
      }
    }
  }

  private void measure(Fault fault) {
    for (int i = 0; i < WARM_UP_TICKS; i++) {
      fleet.step(this::work);
    }
    inject(fault);
    for (int i = 0; i < fault.ticks; i++) {
      fleet.step(this::work);
      sample();
    }
    System.out.printf(
        Locale.ROOT,
        "%s %s %.3f %.3f %.2f%n",
        fault,
        mode,
        used / fault.ticks,
        worstSecond,
        largest / (double) BOUND);
  }

  private void inject(Fault fault) {
    List<VirtualFleet.Instance> others = new ArrayList<>(fleet.instances.subList(1, INSTANCES));
    others.sort(Comparator.comparingLong(VirtualFleet.Instance::ownedShards).reversed());
    switch (fault) {
      case DEAD_OWNER -> others.get(0).kill();
      case STORE_DOWN_60_S -> {
        fleet.storeDown = true;
        fleet.at(VirtualFleet.millis(60_000), () -> fleet.storeDown = false);
      }
      case PAUSED_OWNER_5_S -> {
        others.get(0).pause();
        fleet.at(VirtualFleet.millis(5_000), others.get(0)::resume);
      }
      case HALF_KILLED -> others.subList(0, INSTANCES / 2).forEach(VirtualFleet.Instance::kill);
      default -> {}
    }
  }

  private void sample() {
    double usedNow = 0;
    for (String endpoint : fleet.endpoints) {
      int running = fleet.running.getOrDefault(endpoint, 0);
      largest = Math.max(largest, running);
      usedNow += Math.min(running, BOUND) / (double) (BOUND * ENDPOINTS);
    }
    used += usedNow;
    second += usedNow;
    if (++secondTicks == 100) {
      worstSecond = Math.min(worstSecond, second / 100);
      second = 0;
      secondTicks = 0;
    }
  }

  /** Adds arrivals, states demand and starts what may start. */
  private void work() {
    double arrivals = LOAD * BOUND * ENDPOINTS / MEAN_SECONDS / 100;
    double live = 0;
    for (int i = 1; i < INSTANCES; i++) {
      live += fleet.instances.get(i).ended ? 0 : 1;
    }
    for (int i = 0; i < INSTANCES; i++) {
      VirtualFleet.Instance instance = fleet.instances.get(i);
      if (instance.ended) {
        continue;
      }
      queued[i] = Math.min(1_000, queued[i] + arrivals * (i == 0 ? 2.0 / 3 : 1.0 / 3 / live));
      if (!instance.paused) {
        startQueued(i, instance);
      }
    }
  }

  private void startQueued(int index, VirtualFleet.Instance instance) {
    int offset = fleet.random.nextInt(ENDPOINTS);
    for (int k = 0; k < ENDPOINTS; k++) {
      String endpoint = fleet.endpoints.get((k + offset) % ENDPOINTS);
      while (queued[index] >= 1 && mayStart(index, instance, endpoint)) {
        queued[index]--;
        start(index, instance, endpoint);
      }
    }
    if (mode == Mode.GRANTS) {
      long waiting = (long) Math.ceil(Math.floor(queued[index]) / ENDPOINTS);
      for (String endpoint : fleet.endpoints) {
        instance.holder.setDemand(endpoint, new Amounts(waiting, 0, 0), fleet.now());
      }
    }
  }

  private boolean mayStart(int index, VirtualFleet.Instance instance, String endpoint) {
    int runs = own.get(endpoint)[index];
    return switch (mode) {
      case GRANTS -> instance.holder.tryAcquire(endpoint, fleet.now());
      case WHOLE_BOUND -> runs < BOUND;
      case EQUAL_SPLIT -> runs < BOUND / INSTANCES;
    };
  }

  private void start(int index, VirtualFleet.Instance instance, String endpoint) {
    own.get(endpoint)[index]++;
    fleet.running.merge(endpoint, 1, Integer::sum);
    double seconds = -Math.log(1 - fleet.random.nextDouble()) * MEAN_SECONDS;
    fleet.at((long) (seconds * 1e9), () -> end(index, instance, endpoint));
  }

  private void end(int index, VirtualFleet.Instance instance, String endpoint) {
    fleet.running.merge(endpoint, -1, Integer::sum);
    own.get(endpoint)[index]--;
    if (mode == Mode.GRANTS && !instance.ended) {
      instance.holder.release(endpoint, fleet.now());
    }
  }
}
