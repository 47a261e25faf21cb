package org.buckthornferry.measure;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.buckthornferry.config.ConfigController;
import org.buckthornferry.config.ConfigSnapshot;
import org.buckthornferry.control.Blackboard;
import org.buckthornferry.membership.ListedInstance;
import org.buckthornferry.membership.LocalInstance;
import org.buckthornferry.membership.MembershipController;
import org.buckthornferry.membership.MembershipTimings;
import org.buckthornferry.membership.StoreReachability;
import org.buckthornferry.peer.PeerCodec;
import org.buckthornferry.peer.PeerMessage;
import org.buckthornferry.store.InMemoryKeyValueStore;

/** Instances in virtual time whose messages are counted in encoded bytes. */
final class VirtualFleet {
  static final long NANOS_PER_MILLI = 1_000_000L;

  private static final int PREFIX_BYTES = 4;

  final List<Instance> instances = new ArrayList<>();
  final InMemoryKeyValueStore store = new InMemoryKeyValueStore(() -> this.nowNanos);
  int lossPercent;
  boolean storeDown;

  private final SplittableRandom random;
  private final int tickMillis;
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final Map<String, Instance> byId = new HashMap<>();
  private final List<ListedInstance> listed = new ArrayList<>();
  private long nowNanos = 1_000 * NANOS_PER_MILLI;
  private long eventCount;

  private record Event(long timeNanos, long order, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(timeNanos, other.timeNanos);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }

  VirtualFleet(long seed, int tickMillis) {
    this.random = new SplittableRandom(seed);
    this.tickMillis = tickMillis;
    after(500 * NANOS_PER_MILLI, this::expireStore);
  }

  private void expireStore() {
    store.expire();
    after(500 * NANOS_PER_MILLI, this::expireStore);
  }

  long nowNanos() {
    return nowNanos;
  }

  /** One simulated process. */
  final class Instance {
    final LocalInstance local;
    final Blackboard blackboard = new Blackboard();
    final StoreReachability reachability = new StoreReachability(VirtualFleet.this::nowNanos);
    final MembershipController membership;
    final ConfigController config;
    long sentBytes;
    long receivedBytes;
    long sentMessages;

    private Instance(LocalInstance local) {
      this.local = local;
      SplittableRandom own = random.split();
      this.membership =
          new MembershipController(
              local,
              MembershipTimings.DEFAULT,
              blackboard,
              () -> CompletableFuture.completedFuture(listed),
              (to, message) -> transmit(this, to, message),
              reachability,
              own);
      this.config =
          new ConfigController(
              local,
              blackboard,
              new VirtualStore(VirtualFleet.this),
              (to, message) -> transmit(this, to, message),
              reachability,
              own);
    }

    long revision() {
      return blackboard.read(ConfigSnapshot.ENTRY).revision();
    }

    private void tick() {
      membership.onTick(nowNanos);
      config.onTick(nowNanos);
      after(tickMillis * NANOS_PER_MILLI, this::tick);
    }

    private void deliver(String from, PeerMessage message, int bytes) {
      receivedBytes += bytes;
      membership.onMessage(from, message, nowNanos);
      config.onMessage(from, message, nowNanos);
    }
  }

  /** Lists and starts instances in regions of equal size. */
  void start(int count, int regions, int domainsPerRegion) {
    for (int i = 0; i < count; i++) {
      String region = "region-" + i % regions;
      String domain = region + "-" + (char) ('a' + i / regions % domainsPerRegion);
      String address = "10." + i / 65_536 + "." + i / 256 % 256 + "." + i % 256 + ":7400";
      LocalInstance local =
          new LocalInstance("entry-" + i, address, domain, region, 1_790_000_000_000L + i);
      Instance instance = new Instance(local);
      instances.add(instance);
      byId.put(local.instanceId(), instance);
      listed.add(new ListedInstance(local.instanceId(), address, domain, region, false));
      after(random.nextLong(tickMillis * NANOS_PER_MILLI), instance::tick);
    }
  }

  void after(long delayNanos, Runnable action) {
    events.add(new Event(nowNanos + delayNanos, eventCount++, action));
  }

  void runMillis(long millis) {
    long endNanos = nowNanos + millis * NANOS_PER_MILLI;
    while (!events.isEmpty() && events.peek().timeNanos <= endNanos) {
      Event event = events.poll();
      nowNanos = event.timeNanos;
      event.action.run();
    }
    nowNanos = endNanos;
  }

  private void transmit(Instance from, String toId, PeerMessage message) {
    int bytes = PeerCodec.encode(message).length + PREFIX_BYTES;
    from.sentBytes += bytes;
    from.sentMessages++;
    Instance to = byId.get(toId);
    if (to == null || random.nextInt(100) < lossPercent) {
      return;
    }
    // One-way delay of the design page: about 0.5 ms between failure domains.
    long delayNanos = 300_000L + random.nextLong(400_000L);
    after(delayNanos, () -> to.deliver(from.local.instanceId(), message, bytes));
  }

  long sentBytes() {
    return instances.stream().mapToLong(instance -> instance.sentBytes).sum();
  }

  long maxSentBytes() {
    return instances.stream().mapToLong(instance -> instance.sentBytes).max().orElse(0);
  }

  long receivedBytes() {
    return instances.stream().mapToLong(instance -> instance.receivedBytes).sum();
  }

  long sentMessages() {
    return instances.stream().mapToLong(instance -> instance.sentMessages).sum();
  }

  void resetCounters() {
    for (Instance instance : instances) {
      instance.sentBytes = 0;
      instance.receivedBytes = 0;
      instance.sentMessages = 0;
    }
  }

  boolean allHave(long revision) {
    return instances.stream().allMatch(instance -> instance.revision() >= revision);
  }
}
