package org.buckthornferry.measure.capacity;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.buckthornferry.capacity.BudgetSource;
import org.buckthornferry.capacity.CapacityController;
import org.buckthornferry.capacity.CapacitySettings;
import org.buckthornferry.capacity.EndpointBudget;
import org.buckthornferry.capacity.GrantHolder;
import org.buckthornferry.capacity.LoadSample;
import org.buckthornferry.control.Blackboard;
import org.buckthornferry.membership.Member;
import org.buckthornferry.membership.MemberState;
import org.buckthornferry.membership.MembershipView;
import org.buckthornferry.peer.Amounts;
import org.buckthornferry.peer.PeerCodec;
import org.buckthornferry.peer.PeerMessage;
import org.buckthornferry.shard.ShardController;
import org.buckthornferry.shard.ShardKind;
import org.buckthornferry.shard.ShardSettings;
import org.buckthornferry.store.InMemoryKeyValueStore;

/** Instances with both controllers under virtual time, on a network without losses. */
final class VirtualFleet {
  static final long TICK_NANOS = millis(10);
  private static final int FRAME_HEADER_BYTES = 4;

  final List<Instance> instances = new ArrayList<>();
  final List<String> endpoints = new ArrayList<>();
  final Map<String, Integer> running = new HashMap<>();
  final SplittableRandom random = new SplittableRandom(1);
  final int bound;
  private final int shardCount;
  private final InMemoryKeyValueStore store = new InMemoryKeyValueStore(() -> now());
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final Map<String, ArrayDeque<LoadSample>> load = new HashMap<>();
  private long nowNanos = millis(1_000);
  private long eventOrder;
  private long nextViewNanos;
  private long nextLoadNanos;
  boolean storeDown;

  private record Event(long nanos, long order, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(nanos, other.nanos);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }

  VirtualFleet(int size, int endpointCount, int bound, int shardCount, int domains) {
    this.bound = bound;
    this.shardCount = shardCount;
    for (int i = 0; i < endpointCount; i++) {
      endpoints.add("model-" + i);
    }
    for (int i = 0; i < size; i++) {
      instances.add(new Instance(i, "d" + i % domains));
    }
  }

  static long millis(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }

  long now() {
    return nowNanos;
  }

  /** One instance; its controllers see {@link #now()}. */
  final class Instance implements BudgetSource {
    final String id;
    final String failureDomain;
    final GrantHolder holder = new GrantHolder(shardCount);
    final ShardController shards;
    final CapacityController capacity;
    private final Consumer<MembershipView> membership;
    private final ArrayDeque<Runnable> waiting = new ArrayDeque<>();
    boolean ended;
    boolean paused;
    private long silentSinceNanos;
    long sentBytes;
    long sentMessages;
    long busyNanos;

    private Instance(int index, String failureDomain) {
      this.id = "entry-" + index;
      this.failureDomain = failureDomain;
      Blackboard blackboard = new Blackboard();
      this.membership = blackboard.writerOf(MembershipView.ENTRY);
      ShardSettings settings = new ShardSettings(shardCount, 3_000, 2_000, 600_000, 10_000);
      VirtualStore access =
          new VirtualStore(store, () -> storeDown, action -> at(millis(2), () -> run(action)));
      this.shards =
          new ShardController(
              id,
              1,
              settings,
              access,
              blackboard,
              this::send,
              VirtualFleet.this::now,
              () -> TimeUnit.NANOSECONDS.toMillis(nowNanos),
              random.split());
      this.capacity =
          new CapacityController(
              id, 1, CapacitySettings.DEFAULT, holder, this, shards, blackboard, this::send);
    }

    private void send(String to, PeerMessage message) {
      sentMessages++;
      sentBytes += PeerCodec.encode(message).length + FRAME_HEADER_BYTES;
      Instance receiver = instances.get(Integer.parseInt(to.substring("entry-".length())));
      at(millis(1) / 2, () -> receiver.run(() -> receiver.receive(id, message)));
    }

    private void receive(String from, PeerMessage message) {
      shards.onMessage(from, message, nowNanos);
      long startNanos = System.nanoTime();
      capacity.onMessage(from, message, nowNanos);
      busyNanos += System.nanoTime() - startNanos;
    }

    private void run(Runnable action) {
      if (paused) {
        waiting.add(action);
      } else if (!ended) {
        action.run();
      }
    }

    private void tick() {
      shards.onTick(nowNanos);
      long startNanos = System.nanoTime();
      capacity.onTick(nowNanos);
      busyNanos += System.nanoTime() - startNanos;
    }

    long ownedShards() {
      long owned = 0;
      for (int shard = 0; shard < shardCount; shard++) {
        owned += shards.ownsNow(ShardKind.ENDPOINT, shard, nowNanos) ? 1 : 0;
      }
      return owned;
    }

    void kill() {
      ended = true;
      silentSinceNanos = nowNanos;
    }

    void pause() {
      paused = true;
      silentSinceNanos = nowNanos;
    }

    void resume() {
      paused = false;
      while (!waiting.isEmpty()) {
        run(waiting.poll());
      }
    }

    @Override
    public Optional<EndpointBudget> budgetOf(String endpointId) {
      return Optional.of(EndpointBudget.warm(Amounts.ofConcurrent(bound)));
    }

    @Override
    public Optional<LoadSample> loadOf(String endpointId) {
      ArrayDeque<LoadSample> samples = load.get(endpointId);
      return samples == null ? Optional.empty() : Optional.of(samples.peekFirst());
    }
  }

  void at(long delayNanos, Runnable action) {
    events.add(new Event(nowNanos + delayNanos, eventOrder++, action));
  }

  /** Advances by one tick; {@code work} runs after the controllers. */
  void step(Runnable work) {
    long untilNanos = nowNanos + TICK_NANOS;
    while (!events.isEmpty() && events.peek().nanos <= untilNanos) {
      Event event = events.poll();
      nowNanos = Math.max(nowNanos, event.nanos);
      event.action.run();
    }
    nowNanos = untilNanos;
    if (nowNanos >= nextViewNanos) {
      nextViewNanos = nowNanos + millis(250);
      updateViews();
    }
    for (Instance instance : instances) {
      instance.run(instance::tick);
    }
    work.run();
    if (nowNanos >= nextLoadNanos) {
      nextLoadNanos = nowNanos + millis(250);
      sampleLoad();
    }
  }

  /** Load reports every 250 ms that arrive one period late. */
  private void sampleLoad() {
    running.forEach(
        (endpoint, count) -> {
          ArrayDeque<LoadSample> samples = load.computeIfAbsent(endpoint, e -> new ArrayDeque<>());
          samples.addLast(new LoadSample(count, nowNanos));
          if (samples.size() > 2) {
            samples.removeFirst();
          }
        });
  }

  private void updateViews() {
    Map<String, Member> members = new HashMap<>();
    Set<String> absent = new TreeSet<>();
    for (Instance instance : instances) {
      boolean silent = instance.ended || instance.paused;
      long silentNanos = silent ? nowNanos - instance.silentSinceNanos : 0;
      MemberState state =
          silentNanos > millis(3_000)
              ? MemberState.DEAD
              : silentNanos > millis(1_000) ? MemberState.SUSPECT : MemberState.ALIVE;
      if (instance.ended && silentNanos > millis(5_000)) {
        absent.add(instance.id);
      }
      boolean reached = instance.shards.reachedStoreWithin(millis(1_000), nowNanos);
      members.put(
          instance.id,
          new Member(
              instance.id,
              "127.0.0.1:1",
              instance.failureDomain,
              "r",
              1,
              0,
              state,
              reached,
              nowNanos - silentNanos));
    }
    for (Instance instance : instances) {
      if (!instance.ended && !instance.paused) {
        instance.membership.accept(new MembershipView(instance.id, members, absent));
      }
    }
  }
}
