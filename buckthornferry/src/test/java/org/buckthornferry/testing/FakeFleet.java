package org.buckthornferry.testing;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.buckthornferry.membership.ListedInstance;
import org.buckthornferry.peer.PeerMessage;
import org.buckthornferry.store.InMemoryKeyValueStore;

/**
 * Instances in virtual time that talk over a network which loses, doubles, delays and reorders
 * messages as a seed decides.
 */
public final class FakeFleet {
  private static final Logger LOG = Logger.getLogger("org.buckthornferry");

  public final Random random;
  public final InMemoryKeyValueStore store = new InMemoryKeyValueStore(() -> this.nowNanos);
  public final Map<String, FakeInstance> instances = new TreeMap<>();
  public final List<ListedInstance> listed = new ArrayList<>();

  public int lossPercent;
  public int duplicatePercent;
  public int maxDelayMillis = 2;
  public boolean storeDown;
  public int lostAnswerPercent;
  public int staleListPercent;
  public int watchesWaiting;
  public long storeCalls;
  public BiPredicate<FakeInstance, FakeInstance> cut = (from, to) -> false;

  /** Called after every step of an instance. */
  public Consumer<FakeInstance> observer = instance -> {};

  private final int tickMillis;
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final List<List<ListedInstance>> listHistory = new ArrayList<>();
  private long nowNanos = 1_000_000_000L;
  private long eventCount;
  private long incarnation = 1_700_000_000_000L;

  private record Event(long timeNanos, long order, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(timeNanos, other.timeNanos);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }

  public FakeFleet(long seed, int tickMillis) {
    this.random = new Random(seed);
    this.tickMillis = tickMillis;
    LOG.setLevel(Level.OFF);
    after(500, this::expireStore);
  }

  private void expireStore() {
    store.expire();
    after(500, this::expireStore);
  }

  public long nowNanos() {
    return nowNanos;
  }

  /** Starts a new process of an instance, which the instance list names from now on. */
  public FakeInstance start(String id, String failureDomain, String region) {
    FakeInstance instance = new FakeInstance(this, id, failureDomain, region, ++incarnation);
    instances.put(id, instance);
    list(instance);
    after(random.nextInt(tickMillis) + 1, () -> tick(instance));
    return instance;
  }

  public void list(FakeInstance instance) {
    unlist(instance.id());
    listed.add(
        new ListedInstance(
            instance.id(),
            instance.id() + ":1",
            instance.failureDomain(),
            instance.region(),
            false));
    listHistory.add(List.copyOf(listed));
  }

  public void unlist(String id) {
    if (listed.removeIf(entry -> entry.instanceId().equals(id))) {
      listHistory.add(List.copyOf(listed));
    }
  }

  public void crash(String id) {
    FakeInstance instance = instances.remove(id);
    if (instance != null) {
      instance.end();
    }
  }

  public void after(long delayMillis, Runnable action) {
    events.add(new Event(nowNanos + delayMillis * 1_000_000L, eventCount++, action));
  }

  public void runMillis(long millis) {
    long endNanos = nowNanos + millis * 1_000_000L;
    while (!events.isEmpty() && events.peek().timeNanos <= endNanos) {
      Event event = events.poll();
      nowNanos = event.timeNanos;
      event.action.run();
    }
    nowNanos = endNanos;
  }

  private void tick(FakeInstance instance) {
    if (instance.hasEnded()) {
      return;
    }
    instance.run(instance::tick);
    after(tickMillis, () -> tick(instance));
  }

  void transmit(FakeInstance from, String toId, PeerMessage message) {
    int copies = random.nextInt(100) < duplicatePercent ? 2 : 1;
    for (int i = 0; i < copies; i++) {
      if (random.nextInt(100) < lossPercent) {
        continue;
      }
      after(
          1 + random.nextInt(maxDelayMillis),
          () -> {
            FakeInstance to = instances.get(toId);
            if (to != null && !cut.test(from, to)) {
              to.run(() -> to.deliver(from.id(), message));
            }
          });
    }
  }

  CompletableFuture<List<ListedInstance>> instanceList(FakeInstance reader) {
    CompletableFuture<List<ListedInstance>> result = new CompletableFuture<>();
    boolean stale = random.nextInt(100) < staleListPercent;
    List<ListedInstance> answer =
        stale && !listHistory.isEmpty()
            ? listHistory.get(random.nextInt(listHistory.size()))
            : List.copyOf(listed);
    after(1 + random.nextInt(maxDelayMillis), () -> reader.run(() -> result.complete(answer)));
    return result;
  }

  /** Returns the ids of the instances that run. */
  public Set<String> ids() {
    return new HashSet<>(instances.keySet());
  }
}
