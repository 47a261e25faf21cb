package org.buckthornferry.measure;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;
import org.buckthornferry.control.Blackboard;
import org.buckthornferry.membership.Member;
import org.buckthornferry.membership.MemberState;
import org.buckthornferry.membership.MembershipView;
import org.buckthornferry.peer.PeerMessage;
import org.buckthornferry.request.ClaimController;
import org.buckthornferry.request.ClaimOutcome;
import org.buckthornferry.request.ClaimSettings;
import org.buckthornferry.request.ClaimStoreCalls;
import org.buckthornferry.request.ContentHash;
import org.buckthornferry.request.OwnershipCheck;
import org.buckthornferry.request.ProcessIncarnation;
import org.buckthornferry.request.RequestIdentity;
import org.buckthornferry.request.StoredResponse;
import org.buckthornferry.shard.ShardKind;
import org.buckthornferry.shard.ShardMap;
import org.buckthornferry.shard.ShardOwner;

/**
 * Measures claims: store writes and latency with group commit against one write per claim, memory
 * and processor time per claim, and takeover. Store and network run in virtual time.
 */
public final class ClaimMeasurement {
  private static final int OWNERS = 8;
  private static final int SHARDS = 64;
  private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
  private static final long NETWORK_NANOS = TimeUnit.MICROSECONDS.toNanos(500);
  private static final int SECONDS = 5;

  /** The writes per second that the platform's store accepts in this measurement. */
  private static final int STORE_WRITES_PER_SECOND = 400;

  private static final int UNLIMITED = 1_000_000_000;
  private static final ContentHash CONTENT = new ContentHash(1, 2);

  private final Consumer<String> out;

  private ClaimMeasurement(Consumer<String> out) {
    this.out = out;
  }

  /** Prints every measurement. */
  public static void main(String[] args) {
    java.util.logging.Logger.getLogger("").setLevel(java.util.logging.Level.WARNING);
    ClaimMeasurement measurement = new ClaimMeasurement(System.out::println);
    measurement.measureCommits();
    measurement.measureTakeover();
    measurement.measureMemory();
    measurement.measureProcessorTime();
  }

  /** Several owners that share a store. */
  private static final class Fleet {
    private final ClaimMeasurementClock clock = new ClaimMeasurementClock();
    private final ClaimMeasurementStore store;
    private final Map<String, ClaimController> controllers = new TreeMap<>();
    private final Map<String, Consumer<ShardMap>> maps = new HashMap<>();
    private final Map<String, Consumer<MembershipView>> views = new HashMap<>();
    private final Map<Integer, List<ProcessIncarnation>> formers = new HashMap<>();

    private Fleet(int owners, boolean keepsValues, int maxWritesPerSecond) {
      store = new ClaimMeasurementStore(clock, keepsValues, maxWritesPerSecond);
      Map<String, Member> members = new TreeMap<>();
      for (int i = 0; i < owners; i++) {
        members.put(id(i), member(i, MemberState.ALIVE));
      }
      for (int i = 0; i < owners; i++) {
        add(id(i), members);
      }
      Map<Integer, ShardOwner> map = new TreeMap<>();
      for (int shard = 0; shard < SHARDS; shard++) {
        map.put(shard, new ShardOwner(id(shard % owners), 1, 1));
      }
      publish(map);
      tick();
      clock.runFor(1_000 * MILLI);
    }

    private static String id(int index) {
      return "entry-" + index;
    }

    private static Member member(int index, MemberState state) {
      return new Member(id(index), "127.0.0.1:1", "domain-" + index, "r", 1, 0, state, true, 0);
    }

    private void add(String id, Map<String, Member> members) {
      Blackboard blackboard = new Blackboard();
      maps.put(id, blackboard.writerOf(ShardMap.ENTRY));
      views.put(id, blackboard.writerOf(MembershipView.ENTRY));
      views.get(id).accept(new MembershipView(id, members, Set.of()));
      controllers.put(
          id,
          new ClaimController(
              id,
              1,
              blackboard,
              (to, message) -> clock.after(NETWORK_NANOS, () -> deliver(id, to, message)),
              store,
              new Ownership(formers),
              clock,
              ClaimSettings.DEFAULT));
    }

    /** Messages to a process that has ended are lost. */
    private void deliver(String from, String to, PeerMessage message) {
      ClaimController target = controllers.get(to);
      if (target != null) {
        target.onMessage(from, message, clock.nanoTime());
      }
    }

    /** Ends the first process; the second one learns of it. */
    private void endFirst() {
      controllers.remove(id(0));
      Map<String, Member> members = new TreeMap<>();
      members.put(id(0), member(0, MemberState.DEAD));
      members.put(id(1), member(1, MemberState.ALIVE));
      views.get(id(1)).accept(new MembershipView(id(1), members, Set.of(id(0))));
    }

    private void publish(Map<Integer, ShardOwner> owners) {
      ShardMap map = new ShardMap(SHARDS, Map.of(ShardKind.CLAIM, owners));
      maps.values().forEach(writer -> writer.accept(map));
    }

    private void tick() {
      controllers.values().forEach(controller -> controller.onTick(clock.nanoTime()));
      clock.after(10 * MILLI, this::tick);
    }

    private ClaimController controller(int index) {
      return controllers.get(id(index));
    }
  }

  private record Ownership(Map<Integer, List<ProcessIncarnation>> formers)
      implements OwnershipCheck {
    @Override
    public boolean ownsNow(int shard, long nowNanos) {
      return true;
    }

    @Override
    public List<ProcessIncarnation> formerOwners(int shard) {
      return formers.getOrDefault(shard, List.of());
    }
  }

  private void measureCommits() {
    print("store: 4 ms latency, at most %d writes/s; %d owners", STORE_WRITES_PER_SECOND, OWNERS);
    for (int claimsPerSecond : new int[] {10, 100, 1_000, 10_000}) {
      groupCommit(claimsPerSecond);
      writePerClaim(claimsPerSecond);
    }
  }

  private void groupCommit(int claimsPerSecond) {
    Fleet fleet = new Fleet(OWNERS, true, STORE_WRITES_PER_SECOND);
    Histogram latencyMicros = new Histogram(3);
    long[] granted = {0};
    int count = claimsPerSecond * SECONDS;
    for (int i = 0; i < count; i++) {
      int number = i;
      fleet.clock.after(
          i * TimeUnit.SECONDS.toNanos(1) / claimsPerSecond,
          () -> {
            long startNanos = fleet.clock.nanoTime();
            var unused =
                fleet
                    .controller(number % OWNERS)
                    .claim(identity(number), CONTENT, false, startNanos)
                    .thenAccept(
                        outcome -> {
                          if (outcome instanceof ClaimOutcome.Granted) {
                            granted[0]++;
                            latencyMicros.recordValue(
                                (fleet.clock.nanoTime() - startNanos) / 1_000);
                          }
                        });
          });
    }
    long writesBefore = fleet.store.writes;
    fleet.clock.runFor(TimeUnit.SECONDS.toNanos(SECONDS));
    long writes = fleet.store.writes - writesBefore;
    fleet.clock.runFor(TimeUnit.SECONDS.toNanos(10));
    report("group commit", claimsPerSecond, writes, fleet.store, granted[0], latencyMicros);
  }

  private void writePerClaim(int claimsPerSecond) {
    ClaimMeasurementClock clock = new ClaimMeasurementClock();
    ClaimMeasurementStore store = new ClaimMeasurementStore(clock, true, STORE_WRITES_PER_SECOND);
    Histogram latencyMicros = new Histogram(3);
    long[] granted = {0};
    int count = claimsPerSecond * SECONDS;
    for (int i = 0; i < count; i++) {
      String key = "claim/" + i;
      clock.after(
          i * TimeUnit.SECONDS.toNanos(1) / claimsPerSecond,
          () -> {
            long startNanos = clock.nanoTime();
            var unused =
                store
                    .compareAndSwap(key, 0, new byte[100], key)
                    .thenAccept(
                        version -> {
                          granted[0]++;
                          latencyMicros.recordValue((clock.nanoTime() - startNanos) / 1_000);
                        });
          });
    }
    clock.runFor(TimeUnit.SECONDS.toNanos(SECONDS + 10));
    report("write per claim", claimsPerSecond, store.writes, store, granted[0], latencyMicros);
  }

  private void report(
      String name,
      int claimsPerSecond,
      long writes,
      ClaimMeasurementStore store,
      long granted,
      Histogram latencyMicros) {
    print(
        "%-15s %6d claims/s: granted %6.2f%%, writes %6.1f/s, refused writes %7.1f/s, "
            + "written %7.1f KB/s, latency p50 %6.1f ms p99 %6.1f ms max %6.1f ms",
        name,
        claimsPerSecond,
        100.0 * granted / (claimsPerSecond * SECONDS),
        (double) writes / SECONDS,
        (double) store.refusedWrites / SECONDS,
        store.writtenBytes / 1_024.0 / SECONDS,
        latencyMicros.getValueAtPercentile(50) / 1_000.0,
        latencyMicros.getValueAtPercentile(99) / 1_000.0,
        latencyMicros.getMaxValue() / 1_000.0);
  }

  private void measureTakeover() {
    for (int claims : new int[] {100, 1_000, 10_000, 100_000}) {
      takeover(claims);
    }
  }

  /** Two owners; the second takes over every shard of the first. */
  private void takeover(int claims) {
    Fleet fleet = new Fleet(2, true, UNLIMITED);
    for (int i = 0; i < claims; i++) {
      int number = i;
      fleet.clock.after(
          i * TimeUnit.SECONDS.toNanos(1) / 2_000,
          () -> {
            var unused =
                fleet.controller(0).claim(identity(number), CONTENT, false, fleet.clock.nanoTime());
          });
    }
    fleet.clock.runFor(TimeUnit.SECONDS.toNanos(claims / 2_000 + 2));
    Map<Integer, ShardOwner> owners = new TreeMap<>();
    for (int shard = 0; shard < SHARDS; shard++) {
      boolean moved = shard % 2 == 0;
      owners.put(shard, new ShardOwner(Fleet.id(1), 1, moved ? 2 : 1));
      if (moved) {
        fleet.formers.put(shard, List.of(new ProcessIncarnation(Fleet.id(0), 1)));
      }
    }
    fleet.endFirst();
    ClaimController taker = fleet.controller(1);
    final long readsBefore = fleet.store.reads;
    final long startNanos = fleet.clock.nanoTime();
    final long startCpuNanos = cpuNanos();
    fleet.publish(owners);
    while (!taker.serves(0)) {
      fleet.clock.runFor(MILLI);
    }
    print(
        "takeover of %6d journalled claims: %5.0f ms virtual, %6.1f ms processor, store reads %d, "
            + "seals %d, read %8.1f KB",
        claims / 2,
        (fleet.clock.nanoTime() - startNanos) / 1e6,
        (cpuNanos() - startCpuNanos) / 1e6,
        fleet.store.reads - readsBefore,
        taker.storeCalls().countOf(ClaimStoreCalls.Kind.SEAL),
        fleet.store.readBytes / 1_024.0);
  }

  private void measureMemory() {
    for (boolean idempotent : new boolean[] {true, false}) {
      int claims = 200_000;
      Fleet fleet = new Fleet(1, false, UNLIMITED);
      final long beforeBytes = usedBytes();
      claimAll(fleet, claims, idempotent, 0);
      long perClaim = (usedBytes() - beforeBytes) / claims;
      print(
          "memory of one answered %s claim with a 20-character key: %d bytes",
          idempotent ? "idempotent" : "non-idempotent", perClaim);
      if (fleet.controllers.isEmpty()) {
        throw new IllegalStateException("the fleet must stay reachable during the measurement");
      }
    }
  }

  private void measureProcessorTime() {
    for (boolean idempotent : new boolean[] {true, false}) {
      int claims = 200_000;
      List<Double> micros = new ArrayList<>();
      for (int round = 0; round < 4; round++) {
        Fleet fleet = new Fleet(1, false, UNLIMITED);
        long startNanos = cpuNanos();
        claimAll(fleet, claims, idempotent, round);
        micros.add((cpuNanos() - startNanos) / 1e3 / claims);
      }
      print(
          "processor time of one %s claim from claim to answer, 4 rounds: %s µs",
          idempotent ? "idempotent" : "non-idempotent",
          micros.stream().map(m -> String.format(Locale.ROOT, "%.2f", m)).toList());
    }
  }

  private static void claimAll(Fleet fleet, int claims, boolean idempotent, int round) {
    ClaimController controller = fleet.controller(0);
    StoredResponse response = new StoredResponse(200, "text/plain", new byte[16]);
    for (int i = 0; i < claims; i++) {
      RequestIdentity identity = identity(i + round * claims);
      var unused =
          controller
              .claim(identity, CONTENT, idempotent, fleet.clock.nanoTime())
              .thenAccept(
                  outcome -> {
                    if (!(outcome instanceof ClaimOutcome.Granted)) {
                      throw new IllegalStateException("claim was not granted: " + outcome);
                    }
                    controller.dispatched(identity, "endpoint-1", fleet.clock.nanoTime());
                    controller.answered(identity, response, fleet.clock.nanoTime());
                  });
      if (i % 10 == 9) {
        fleet.clock.runFor(MILLI * 10);
      }
    }
    fleet.clock.runFor(TimeUnit.SECONDS.toNanos(2));
  }

  private static RequestIdentity identity(int number) {
    return new RequestIdentity("customer", String.format(Locale.ROOT, "booking-%012d", number));
  }

  private static long cpuNanos() {
    ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    return threads.getCurrentThreadCpuTime();
  }

  private static long usedBytes() {
    for (int i = 0; i < 3; i++) {
      System.gc();
    }
    return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
  }

  private void print(String format, Object... values) {
    out.accept(String.format(Locale.ROOT, format, values));
  }
}
