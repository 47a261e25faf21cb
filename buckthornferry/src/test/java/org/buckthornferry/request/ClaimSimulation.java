package org.buckthornferry.request;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.buckthornferry.control.Blackboard;
import org.buckthornferry.membership.Member;
import org.buckthornferry.membership.MemberState;
import org.buckthornferry.membership.MembershipView;
import org.buckthornferry.peer.PeerMessage;
import org.buckthornferry.shard.ShardKind;
import org.buckthornferry.shard.ShardMap;
import org.buckthornferry.shard.ShardOwner;
import org.buckthornferry.store.InMemoryKeyValueStore;

/**
 * Simulates several claim controllers, callers that retry their requests and an endpoint in virtual
 * time, with faults drawn from a seed. Collects invariant violations as text.
 */
final class ClaimSimulation {
  static final long NANOS_PER_MILLI = 1_000_000;

  static final ClaimSettings SETTINGS =
      new ClaimSettings(
          600_000, 125, 300, 1_500, 100, 100, 1_000, 1 << 20, 2_000, 16 << 10, 1_000, 400);

  private static final long LEASE_NANOS = 300 * NANOS_PER_MILLI;
  private static final Logger REQUEST_LOGGER = Logger.getLogger("org.buckthornferry.request");

  final VirtualTime time = new VirtualTime();
  final SplittableRandom random;
  final FaultyStore.Faults storeFaults = new FaultyStore.Faults();
  final List<String> violations = new ArrayList<>();
  final Map<RequestIdentity, Request> requests = new HashMap<>();
  final List<Node> processes = new ArrayList<>();
  double lossRate;
  double duplicateRate;
  double longDelayRate;

  /** Simulates a stopped lease clock: every owner believes that its lease is still valid. */
  boolean leaseClockStops;

  private final InMemoryKeyValueStore store = new InMemoryKeyValueStore(time::nowNanos);
  private final int shardCount;
  private final Map<Integer, ShardOwner> owners = new TreeMap<>();
  private final Map<Integer, List<ProcessIncarnation>> formerOwnersByShard = new HashMap<>();
  private final Map<String, Member> members = new TreeMap<>();
  private final Set<String> absent = new TreeSet<>();
  private final boolean faulty;

  /** A request of a caller and its executions at the endpoint. */
  static final class Request {
    final RequestIdentity identity;
    final boolean idempotent;
    final ClaimHistory history = new ClaimHistory();
    final List<Long> executionNanos = new ArrayList<>();
    final List<Integer> executedContents = new ArrayList<>();
    int attempts;

    Request(RequestIdentity identity, boolean idempotent) {
      this.identity = identity;
      this.idempotent = idempotent;
    }
  }

  /** One process of an instance. */
  final class Node {
    final String id;
    final int index;
    final long incarnation;
    final Blackboard blackboard = new Blackboard();
    final Consumer<ShardMap> shardMap = blackboard.writerOf(ShardMap.ENTRY);
    final Consumer<MembershipView> view = blackboard.writerOf(MembershipView.ENTRY);
    final ClaimController controller;
    boolean alive = true;
    long pausedUntilNanos;
    long leaseUntilNanos;

    Node(int index, long incarnation) {
      this.id = "entry-" + index;
      this.index = index;
      this.incarnation = incarnation;
      this.controller =
          new ClaimController(
              id,
              incarnation,
              blackboard,
              (to, message) -> send(this, to, message),
              new FaultyStore(store, time, random.split(), storeFaults, this::run),
              new OwnershipCheck() {
                @Override
                public boolean ownsNow(int shard, long nowNanos) {
                  return leaseClockStops || (now() < leaseUntilNanos && is(owners.get(shard)));
                }

                @Override
                public List<ProcessIncarnation> formerOwners(int shard) {
                  return List.copyOf(formerOwnersByShard.getOrDefault(shard, List.of()));
                }
              },
              this::now,
              SETTINGS);
    }

    /** Returns a clock value that differs between processes, to expose comparisons across them. */
    long now() {
      return time.nowNanos() + (index + 1) * 1_000_000_000L * (incarnation + 7);
    }

    /** Runs an action unless the process has ended; a paused process runs it after the pause. */
    void run(Runnable action) {
      if (!alive) {
        return;
      }
      if (time.nowNanos() < pausedUntilNanos) {
        time.after(pausedUntilNanos - time.nowNanos(), () -> run(action));
      } else {
        action.run();
      }
    }

    private void tick() {
      if (!alive) {
        return;
      }
      run(
          () -> {
            controller.onTick(now());
            time.after((10 + random.nextInt(30)) * NANOS_PER_MILLI, this::tick);
          });
    }

    private void renewLease() {
      if (!alive) {
        return;
      }
      run(
          () -> {
            if (!holdsExpiredLease()) {
              leaseUntilNanos = now() + LEASE_NANOS;
            }
            time.after(LEASE_NANOS / 3, this::renewLease);
          });
    }

    /** Returns whether the lease has expired while this process owns a shard; it is not renewed. */
    private boolean holdsExpiredLease() {
      return leaseUntilNanos != 0 && now() >= leaseUntilNanos && ownsAny();
    }

    private boolean ownsAny() {
      return owners.values().stream().anyMatch(this::is);
    }

    boolean is(ShardOwner owner) {
      return owner.instanceId().equals(id) && owner.incarnation() == incarnation;
    }
  }

  ClaimSimulation(long seed, int processCount, int shardCount, boolean faulty) {
    REQUEST_LOGGER.setLevel(Level.OFF);
    this.random = new SplittableRandom(seed);
    this.shardCount = shardCount;
    this.faulty = faulty;
    for (int i = 0; i < processCount; i++) {
      start(i);
    }
    publishMembers();
    manageShards();
  }

  private void start(int index) {
    Node process = new Node(index, time.nowNanos() / NANOS_PER_MILLI + 1);
    if (index < processes.size()) {
      processes.set(index, process);
    } else {
      processes.add(process);
    }
    absent.remove(process.id);
    members.put(process.id, member(process, MemberState.ALIVE));
    publishMembers();
    process.shardMap.accept(map(owners));
    process.tick();
    process.renewLease();
  }

  private static Member member(Node process, MemberState state) {
    return new Member(
        process.id,
        "127.0.0.1:1",
        "domain-" + process.index % 3,
        "region",
        process.incarnation,
        0,
        state,
        true,
        0);
  }

  private void publishMembers() {
    Map<String, Member> known = Map.copyOf(members);
    Set<String> absentNow = Set.copyOf(absent);
    for (Node process : processes) {
      time.after(
          random.nextLong(50) * NANOS_PER_MILLI,
          () ->
              process.run(
                  () -> process.view.accept(new MembershipView(process.id, known, absentNow))));
    }
  }

  void crash(Node process) {
    if (!process.alive) {
      return;
    }
    process.alive = false;
    time.after(
        random.nextLong(200) * NANOS_PER_MILLI,
        () -> {
          Member current = members.get(process.id);
          if (current.incarnation() == process.incarnation) {
            members.put(process.id, member(process, MemberState.DEAD));
            absent.add(process.id);
            publishMembers();
          }
        });
    time.after((300 + random.nextLong(500)) * NANOS_PER_MILLI, () -> start(process.index));
  }

  void pause(Node process, long nanos) {
    process.pausedUntilNanos = Math.max(process.pausedUntilNanos, time.nowNanos() + nanos);
  }

  /** Assigns shards whose owner's lease has expired to a running process. */
  private void manageShards() {
    boolean changed = false;
    for (int shard = 0; shard < shardCount; shard++) {
      ShardOwner owner = owners.get(shard);
      Node process = owner == null ? null : processOf(owner);
      boolean leaseLive =
          process != null && process.alive && process.now() < process.leaseUntilNanos;
      if (!leaseLive) {
        changed |= takeOver(shard, owner);
      }
    }
    if (changed) {
      publishShards();
    }
    time.after(50 * NANOS_PER_MILLI, this::manageShards);
  }

  /** Moves a shard from a running owner, which stops serving it first, to another process. */
  void move(int shard) {
    ShardOwner owner = owners.get(shard);
    Node process = owner == null ? null : processOf(owner);
    if (process != null && process.alive && time.nowNanos() >= process.pausedUntilNanos) {
      Map<Integer, ShardOwner> without = new TreeMap<>(owners);
      without.remove(shard);
      process.shardMap.accept(map(without));
      process.controller.onTick(process.now());
      takeOver(shard, owner);
      publishShards();
    }
  }

  private boolean takeOver(int shard, ShardOwner owner) {
    List<Node> candidates =
        processes.stream()
            .filter(p -> p.alive && time.nowNanos() >= p.pausedUntilNanos)
            .filter(p -> p.now() < p.leaseUntilNanos && (owner == null || !p.is(owner)))
            .toList();
    Node next = candidates.isEmpty() ? grantLease() : pick(candidates);
    if (next == null) {
      return false;
    }
    if (owner != null) {
      List<ProcessIncarnation> former =
          formerOwnersByShard.computeIfAbsent(shard, s -> new ArrayList<>());
      ProcessIncarnation added = new ProcessIncarnation(owner.instanceId(), owner.incarnation());
      former.remove(added);
      former.add(added);
    }
    long fencing = owner == null ? 1 : owner.fencingNumber() + 1;
    owners.put(shard, new ShardOwner(next.id, next.incarnation, fencing));
    return true;
  }

  /** Grants a new lease to a running process if no process holds a live one; may return null. */
  private Node grantLease() {
    List<Node> running =
        processes.stream().filter(p -> p.alive && time.nowNanos() >= p.pausedUntilNanos).toList();
    if (running.isEmpty() || processes.stream().anyMatch(p -> p.now() < p.leaseUntilNanos)) {
      return null;
    }
    Node next = pick(running);
    next.leaseUntilNanos = next.now() + LEASE_NANOS;
    return next;
  }

  <T> T pick(List<T> choices) {
    return choices.get(random.nextInt(choices.size()));
  }

  private Node processOf(ShardOwner owner) {
    return processes.stream().filter(process -> process.is(owner)).findFirst().orElse(null);
  }

  private ShardMap map(Map<Integer, ShardOwner> known) {
    return new ShardMap(shardCount, Map.of(ShardKind.CLAIM, Map.copyOf(known)));
  }

  /** Publishes the shard map with delays; a delayed process receives the map current by then. */
  private void publishShards() {
    for (Node process : processes) {
      time.after(
          random.nextLong(30) * NANOS_PER_MILLI,
          () -> process.run(() -> process.shardMap.accept(map(owners))));
    }
  }

  private void send(Node from, String to, PeerMessage message) {
    int copies = random.nextDouble() < lossRate ? 0 : random.nextDouble() < duplicateRate ? 2 : 1;
    for (int i = 0; i < copies; i++) {
      long delayNanos =
          random.nextDouble() < longDelayRate
              ? random.nextLong(3_000) * NANOS_PER_MILLI
              : (100 + random.nextLong(2_000)) * 1_000;
      time.after(
          delayNanos,
          () -> {
            Node target = processes.stream().filter(p -> p.id.equals(to)).findFirst().get();
            target.run(() -> target.controller.onMessage(from.id, message, target.now()));
          });
    }
  }

  Request request(String key, boolean idempotent) {
    return requests.computeIfAbsent(
        new RequestIdentity("customer", key), identity -> new Request(identity, idempotent));
  }

  /** Claims a request at an instance; {@code onOutcome} receives the outcome. */
  void attempt(Node entry, Request request, int content, Consumer<ClaimOutcome> onOutcome) {
    entry.run(
        () -> {
          int attempt = request.attempts++;
          long startNanos = time.nowNanos();
          ClaimHistory.Operation operation =
              request.history.start(ClaimHistory.Kind.NO_REPLY, attempt, startNanos);
          var unused =
              entry
                  .controller
                  .claim(
                      request.identity,
                      new ContentHash(content, 0),
                      request.idempotent,
                      entry.now())
                  .thenAccept(
                      outcome -> {
                        check(request, content, startNanos, operation, outcome);
                        if (outcome instanceof ClaimOutcome.Granted) {
                          time.after(
                              random.nextLong(20) * NANOS_PER_MILLI,
                              () -> entry.run(() -> dispatch(entry, request, content, attempt)));
                        }
                        onOutcome.accept(outcome);
                      });
        });
  }

  private void dispatch(Node entry, Request request, int content, int attempt) {
    long draw = faulty ? random.nextInt(10) : 9;
    if (draw == 0) {
      request.history.start(ClaimHistory.Kind.RELEASE, attempt, time.nowNanos());
      if (!request.idempotent && !request.executionNanos.isEmpty()) {
        violations.add("released after a run: " + request.identity);
      }
      entry.controller.released(request.identity, entry.now());
      return;
    }
    if (!request.idempotent && !isJournalled(request.identity)) {
      violations.add("dispatched without a journalled claim: " + request.identity);
    }
    entry.controller.dispatched(request.identity, "endpoint", entry.now());
    request.executionNanos.add(time.nowNanos());
    request.executedContents.add(content);
    if (!request.idempotent && request.executionNanos.size() > 1) {
      violations.add("second run of " + request.identity + " history " + request.history);
    }
    int execution = request.executionNanos.size();
    time.after(
        random.nextLong(400) * NANOS_PER_MILLI,
        () ->
            entry.run(
                () -> {
                  if (draw == 1) {
                    request.history.start(ClaimHistory.Kind.FAIL, attempt, time.nowNanos());
                    entry.controller.failed(request.identity, entry.now());
                  } else {
                    request.history.start(ClaimHistory.Kind.ANSWER, attempt, time.nowNanos());
                    entry.controller.answered(
                        request.identity, response(request, execution), entry.now());
                  }
                }));
  }

  private boolean isJournalled(RequestIdentity identity) {
    return store.list("journal/").join().stream()
        .flatMap(segment -> JournalSegment.decode(segment.value()).decodeRecords().stream())
        .anyMatch(copy -> ClaimFieldsConverter.identityOf(copy.claim()).equals(identity));
  }

  private static StoredResponse response(Request request, int execution) {
    String body = request.identity.key() + "#" + execution;
    return new StoredResponse(200, "text/plain", body.getBytes(StandardCharsets.UTF_8));
  }

  private void check(
      Request request,
      int content,
      long startNanos,
      ClaimHistory.Operation operation,
      ClaimOutcome outcome) {
    boolean ranBefore = request.executionNanos.stream().anyMatch(at -> at < startNanos);
    boolean otherContentRan =
        ranBefore && request.executedContents.stream().noneMatch(ran -> ran == content);
    boolean accepted =
        outcome instanceof ClaimOutcome.Answered
            || outcome instanceof ClaimOutcome.Running
            || outcome instanceof ClaimOutcome.Granted;
    if (otherContentRan && accepted && !request.idempotent) {
      violations.add("reuse with other content accepted: " + request.identity + " " + outcome);
    }
    if (outcome instanceof ClaimOutcome.Unavailable && ranBefore) {
      violations.add("untrue not-run for " + request.identity);
    }
    if (outcome instanceof ClaimOutcome.Answered answered) {
      boolean own =
          request.idempotent
              ? new String(answered.response().body(), StandardCharsets.UTF_8)
                  .startsWith(request.identity.key() + "#")
              : answered.response().equals(response(request, 1));
      if (!own) {
        violations.add("wrong response for " + request.identity);
      }
    }
    if (outcome instanceof ClaimOutcome.Unknown unknown && unknown.retryAfterMillis() > 0) {
      // The owner may have granted the claim; the client releases it.
      request.history.start(ClaimHistory.Kind.RELEASE, operation.attempt(), time.nowNanos());
    } else {
      operation.end(kindOf(outcome), time.nowNanos());
    }
  }

  private static ClaimHistory.Kind kindOf(ClaimOutcome outcome) {
    if (outcome instanceof ClaimOutcome.Granted) {
      return ClaimHistory.Kind.GRANTED;
    } else if (outcome instanceof ClaimOutcome.Running) {
      return ClaimHistory.Kind.RUNNING;
    } else if (outcome instanceof ClaimOutcome.Answered) {
      return ClaimHistory.Kind.ANSWERED;
    } else if (outcome instanceof ClaimOutcome.Unavailable) {
      return ClaimHistory.Kind.NOT_RUN;
    }
    return outcome instanceof ClaimOutcome.Unknown
        ? ClaimHistory.Kind.UNKNOWN
        : ClaimHistory.Kind.OTHER;
  }

  /** Clears the message and store faults. */
  void clearFaults() {
    lossRate = 0;
    duplicateRate = 0;
    longDelayRate = 0;
    storeFaults.lostResponse = 0;
    storeFaults.lateEffect = 0;
    storeFaults.outage = false;
  }

  void checkHistories() {
    for (Request request : requests.values()) {
      if (!request.idempotent && !request.history.isLinearizable()) {
        violations.add("history of " + request.identity + ": " + request.history);
      }
    }
  }
}
