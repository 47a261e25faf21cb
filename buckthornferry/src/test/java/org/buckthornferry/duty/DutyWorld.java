package org.buckthornferry.duty;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.function.ToLongFunction;
import org.buckthornferry.control.Blackboard;
import org.buckthornferry.fleet.FleetView;
import org.buckthornferry.fleet.StoreView;
import org.buckthornferry.store.ChangeBatch;
import org.buckthornferry.store.Lease;
import org.buckthornferry.store.SharedStore;
import org.buckthornferry.store.StoreChangeSource;
import org.buckthornferry.store.StorePage;
import org.buckthornferry.store.StorePosition;
import org.buckthornferry.store.StoreTransaction;
import org.buckthornferry.testing.FakeSharedStore;
import org.buckthornferry.testing.ManualScheduler;
import org.buckthornferry.testing.VirtualInstances;
import org.buckthornferry.util.SuspensionCountingClock;

/**
 * Instances on virtual time that elect a holder, act every 100 ms and record what they send. The
 * platform carries calls out late. {@link #violations} lists what breaks a rule.
 */
final class DutyWorld {
  static final DutySubject SUBJECT = new DutySubject("usage", "all");
  static final LeaseTerms TERMS = LeaseTerms.of(DutyBounds.DEFAULTS);
  private static final long ACT_MILLIS = 100;

  final ManualScheduler time = new ManualScheduler();
  final FakeSharedStore store = new FakeSharedStore(time);
  final Map<String, Member> members = new TreeMap<>();
  final List<String> violations = new ArrayList<>();
  final List<Long> gained = new ArrayList<>();
  final SplittableRandom random;
  private final VirtualInstances network;
  private final LeaseTerms terms;
  private final ToLongFunction<StorePosition> tokens;
  private final Map<Long, Integer> senderByToken = new HashMap<>();
  private final Set<Long> outdated = new HashSet<>();
  private final Deque<FakeSharedStore.Snapshot> copies = new ArrayDeque<>();
  private long maxSentToken;
  private long maxCarriedOut;
  private long restoredMillis = Long.MIN_VALUE / 2;
  private int processes;
  int sent;

  /** The chance that a call to the store is handled up to three seconds late. */
  double lateShare;

  /**
   * Whether a suspension stops the steady clock, as that of a whole machine does, or not, as that
   * of a process. A step back of the wall clock during the former cannot be noticed.
   */
  final boolean isMachineSuspended;

  DutyWorld(long seed, LeaseTerms terms, ToLongFunction<StorePosition> tokens) {
    this.random = new SplittableRandom(seed);
    this.isMachineSuspended = seed % 2 == 0;
    this.terms = terms;
    this.tokens = tokens;
    this.network = new VirtualInstances(time, new LateStore());
    keepCopies();
  }

  static DutyWorld of(int instances) {
    DutyWorld world = new DutyWorld(1, TERMS, FencingTokens::of);
    for (int i = 0; i < instances; i++) {
      world.start("i" + i);
    }
    return world;
  }

  private void keepCopies() {
    copies.addLast(store.snapshot());
    if (copies.size() > 8) {
      copies.removeFirst();
    }
    time.schedule(this::keepCopies, 1_000);
  }

  /** Restores the store as it was about {@code ageSeconds} ago. */
  void restoreCopy(int ageSeconds) {
    for (int i = 1; i < ageSeconds && copies.size() > 1; i++) {
      copies.removeLast();
    }
    store.restore(copies.peekLast());
    restoredMillis = time.nowMillis();
  }

  /** Starts an instance, or starts it again as a new process. */
  Member start(String id) {
    if (members.containsKey(id)) {
      kill(id);
    }
    Member member = new Member(id);
    members.put(id, member);
    Map<String, InetSocketAddress> listed = new HashMap<>();
    members.forEach((other, known) -> listed.put(other, known.address));
    members.forEach(
        (other, known) -> known.fleet.accept(new FleetView(listed, Map.of(), Map.of())));
    member.view.start();
    member.holder.start();
    member.act();
    return member;
  }

  void kill(String id) {
    members.get(id).node.kill();
  }

  /** Returns the instances that may act now. */
  List<String> acting() {
    List<String> ids = new ArrayList<>();
    members.forEach(
        (id, member) -> {
          boolean isRunning = !member.node.isDead() && !member.node.isSuspended();
          if (isRunning && member.holder.fencingToken().isPresent()) {
            ids.add(id);
          }
        });
    return ids;
  }

  String onlyActing() {
    List<String> ids = acting();
    return ids.size() == 1 ? ids.get(0) : ids.toString();
  }

  private void check(boolean holds, String violation) {
    if (!holds) {
      violations.add(time.nowMillis() + " ms: " + violation);
    }
  }

  /** One process of an instance. */
  final class Member implements DutyHolder.Listener {
    final VirtualInstances.Node node;
    final DutyHolder holder;
    final StoreView view;
    long wallOffsetMillis;
    private final InetSocketAddress address;
    private final Blackboard blackboard = new Blackboard();
    private final Consumer<FleetView> fleet = blackboard.writerOf(FleetView.ENTRY);
    private final int process = ++processes;

    private Member(String id) {
      address = InetSocketAddress.createUnresolved(id, 1);
      node = network.start(address);
      SuspensionCountingClock clock =
          new SuspensionCountingClock(
              isMachineSuspended ? node : time, () -> node.timeOfDayMillis() + wallOffsetMillis);
      SharedStore reached = node.store();
      view =
          new StoreView(
              reached,
              new StoreChangeSource(reached, "", () -> 1_000, clock),
              (one, other) -> false,
              node,
              clock,
              random.split());
      holder =
          new StoreDutyHolders(
                  reached, view, blackboard, id, terms, tokens, node, clock, random.split())
              .create(SUBJECT, this);
    }

    private void act() {
      holder.fencingToken().ifPresent(this::send);
      node.schedule(this::act, ACT_MILLIS / 2 + random.nextLong(ACT_MILLIS));
    }

    private void send(long token) {
      sent++;
      Integer other = senderByToken.putIfAbsent(token, process);
      check(other == null || other == process, "two senders of token " + token);
      check(!outdated.contains(token), "sent the outdated token " + token);
      check(token >= maxSentToken, "sent " + token + " after " + maxSentToken);
      maxSentToken = Math.max(maxSentToken, token);
      String stored = store.value(StoreDutyHolder.key(SUBJECT));
      boolean mayBeLost = time.nowMillis() - restoredMillis < terms.ttlMillis();
      check(!stored.isEmpty() || mayBeLost, "sent " + token + " after the lease had expired");
      long lateMillis = random.nextInt(10) == 0 ? random.nextLong(4_000) : 5;
      time.schedule(() -> carryOut(token), lateMillis);
    }

    private void carryOut(long token) {
      DutyReply reply = token < maxCarriedOut ? DutyReply.OUTDATED_TOKEN : DutyReply.ACCEPTED;
      maxCarriedOut = Math.max(maxCarriedOut, token);
      node.schedule(
          () -> {
            if (reply.endsToken()) {
              outdated.add(token);
            }
            holder.onReply(token, reply);
          },
          5);
    }

    @Override
    public void onGained(long fencingToken) {
      long last = gained.isEmpty() ? 0 : gained.get(gained.size() - 1);
      check(fencingToken > last, "gained " + fencingToken + " after " + last);
      gained.add(fencingToken);
    }

    @Override
    public void onLost(long fencingToken) {
      check(holder.fencingToken().isEmpty(), "has a token after its loss");
    }
  }

  /** Handles some changes late, so that the caller has given up by then. */
  private final class LateStore implements SharedStore {
    private <T> CompletableFuture<T> late(Supplier<CompletableFuture<T>> call) {
      if (random.nextDouble() >= lateShare) {
        return call.get();
      }
      CompletableFuture<T> result = new CompletableFuture<>();
      time.schedule(
          () -> {
            var unused =
                call.get()
                    .whenComplete(
                        (value, failure) ->
                            Optional.ofNullable(failure)
                                .ifPresentOrElse(
                                    result::completeExceptionally, () -> result.complete(value)));
          },
          random.nextLong(3_000));
      return result;
    }

    @Override
    public CompletableFuture<StorePage> list(String prefix, String afterKey) {
      return store.list(prefix, afterKey);
    }

    @Override
    public CompletableFuture<ChangeBatch> watch(String prefix, long after, long waitMillis) {
      return store.watch(prefix, after, waitMillis);
    }

    @Override
    public CompletableFuture<StorePosition> apply(StoreTransaction transaction) {
      return late(() -> store.apply(transaction));
    }

    @Override
    public CompletableFuture<Lease> grantLease(long ttlMillis) {
      return late(() -> store.grantLease(ttlMillis));
    }

    @Override
    public CompletableFuture<Void> renewLease(Lease lease) {
      return late(() -> store.renewLease(lease));
    }
  }
}
