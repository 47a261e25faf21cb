package org.buckthornferry.measure;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.buckthornferry.admission.ShedController;
import org.buckthornferry.config.ConfigSnapshot;
import org.buckthornferry.control.Blackboard;
import org.buckthornferry.control.Controller;
import org.buckthornferry.endpoint.CostEstimator;
import org.buckthornferry.endpoint.EndpointStates;
import org.buckthornferry.endpoint.HealthController;
import org.buckthornferry.endpoint.LoadReport;
import org.buckthornferry.endpoint.PrefixIndex;
import org.buckthornferry.endpoint.Quarantine;
import org.buckthornferry.error.ErrorKind;
import org.buckthornferry.error.RequestException;
import org.buckthornferry.membership.Member;
import org.buckthornferry.membership.MemberState;
import org.buckthornferry.membership.MembershipView;
import org.buckthornferry.peer.PeerMessage;
import org.buckthornferry.routing.Dispatcher;
import org.buckthornferry.routing.PendingRequest;
import org.buckthornferry.routing.RequestOutcome;
import org.buckthornferry.routing.RoutingController;
import org.buckthornferry.routing.RoutingDependencies;
import org.buckthornferry.routing.RoutingSettings;
import org.buckthornferry.routing.VersionGate;
import org.buckthornferry.shard.ShardKind;
import org.buckthornferry.shard.ShardMap;
import org.buckthornferry.shard.ShardOwner;

/** The library with several instances, a fake network between them and a shared ledger. */
final class LibraryPolicy implements Policy {
  private static final long HOP_NANOS = 500_000;
  private static final int SHARDS = 64;

  private final VirtualTime time;
  private final SplittableRandom random;
  private final List<Node> nodes = new ArrayList<>();
  private final Map<String, Work> works = new HashMap<>();
  private final Map<String, Node> holders = new HashMap<>();
  private final BiConsumer<Work, String> dispatch;
  private final BiConsumer<Work, ErrorKind> refused;
  private final ShardMap shards;

  private final class Node implements Dispatcher {
    final Consumer<ConfigSnapshot> config;
    final Blackboard blackboard = new Blackboard();
    final HealthController health;
    final RoutingController routing;
    final List<Controller> controllers;

    Node(int index, MembershipView view, SharedLedger ledger) {
      blackboard.writerOf(MembershipView.ENTRY).accept(view);
      blackboard.writerOf(ShardMap.ENTRY).accept(shards);
      config = blackboard.writerOf(ConfigSnapshot.ENTRY);
      String id = "entry-" + index;
      ShedController shed =
          new ShedController(id, 1, blackboard, (to, message) -> send(id, to, message));
      health = new HealthController(id, blackboard, (to, message) -> send(id, to, message));
      Quarantine quarantine =
          new Quarantine(id, 600_000, blackboard, (to, message) -> send(id, to, message));
      routing =
          new RoutingController(
              RoutingSettings.DEFAULT,
              new RoutingDependencies(
                  blackboard,
                  shed,
                  health,
                  quarantine,
                  new CostEstimator(),
                  new PrefixIndex(50_000),
                  ledger.limitsOf(index),
                  VersionGate.OPEN,
                  (request, nowNanos) -> handOver(this, request),
                  this,
                  ledger.demandOf(index)));
      controllers = List.of(shed, health, quarantine, routing);
    }

    @Override
    public void dispatch(PendingRequest request, String endpointId) {
      holders.put(request.requestId(), this);
      dispatch.accept(works.get(request.requestId()), endpointId);
    }

    @Override
    public void refuse(PendingRequest request, RequestException reason) {
      refused.accept(works.remove(request.requestId()), reason.kind());
    }

    @Override
    public void move(PendingRequest request, String endpointId) {
      // The fake engines cannot move streams; running requests finish where they are.
    }
  }

  LibraryPolicy(
      Scenario scenario,
      int instances,
      long seed,
      VirtualTime time,
      BiConsumer<Work, String> dispatch,
      BiConsumer<Work, ErrorKind> refused) {
    this.time = time;
    this.random = new SplittableRandom(seed);
    this.dispatch = dispatch;
    this.refused = refused;
    Map<Integer, ShardOwner> owners = new HashMap<>();
    for (int shard = 0; shard < SHARDS; shard++) {
      owners.put(shard, new ShardOwner("entry-" + shard % instances, 1, 1));
    }
    shards = new ShardMap(SHARDS, Map.of(ShardKind.ENDPOINT, owners));
    SharedLedger ledger = new SharedLedger(instances, this::budget);
    for (int i = 0; i < instances; i++) {
      nodes.add(new Node(i, view("entry-" + i, instances), ledger));
    }
    configure(new ConfigSnapshot(1, "first", scenario.declarations()));
  }

  @Override
  public void submit(int instance, Work work) {
    works.put(work.id(), work);
    nodes.get(instance).routing.submit(work.request(), time.nowNanos());
  }

  @Override
  public void completed(Work work, RequestOutcome outcome) {
    Node node = holders.get(work.id());
    if (outcome.kind() != RequestOutcome.Kind.REFUSED) {
      holders.remove(work.id());
      works.remove(work.id());
    }
    node.routing.onCompleted(work.id(), outcome, time.nowNanos());
  }

  @Override
  public void onReport(LoadReport report) {
    owner(report.endpointId()).health.onReport(report, time.nowNanos());
  }

  @Override
  public void configure(ConfigSnapshot snapshot) {
    for (Node node : nodes) {
      // A revision reaches the instances at different times within a second.
      long delayNanos = snapshot.revision() == 1 ? 0 : random.nextLong(1_000_000_000L);
      time.at(time.nowNanos() + delayNanos, () -> node.config.accept(snapshot));
    }
  }

  @Override
  public void onTick() {
    for (Node node : nodes) {
      for (Controller controller : node.controllers) {
        controller.onTick(time.nowNanos());
      }
    }
  }

  private int budget(String endpointId) {
    return owner(endpointId)
        .blackboard
        .read(EndpointStates.ENTRY)
        .of(endpointId)
        .map(status -> status.budgetConcurrent())
        .orElse(0);
  }

  private Node owner(String endpointId) {
    String owner = shards.ownerOf(ShardKind.ENDPOINT, endpointId).orElseThrow().instanceId();
    return node(owner);
  }

  private Node node(String id) {
    return nodes.get(Integer.parseInt(id.substring(id.lastIndexOf('-') + 1)));
  }

  private void send(String from, String to, PeerMessage message) {
    time.at(
        time.nowNanos() + HOP_NANOS,
        () -> {
          for (Controller controller : node(to).controllers) {
            controller.onMessage(from, message, time.nowNanos());
          }
        });
  }

  private boolean handOver(Node from, PendingRequest request) {
    Node to = nodes.get(random.nextInt(nodes.size()));
    if (to == from) {
      return false;
    }
    PendingRequest passed =
        new PendingRequest(
            request.requestId(),
            request.serviceId(),
            request.routePath(),
            request.tier(),
            request.customerId(),
            request.customerWeight(),
            request.contentHash(),
            request.prefixHashes(),
            request.promptTokens(),
            request.sizeBytes(),
            request.arrivedNanos(),
            request.deadlineNanos(),
            true);
    time.at(time.nowNanos() + HOP_NANOS, () -> to.routing.submit(passed, time.nowNanos()));
    return true;
  }

  private static MembershipView view(String selfId, int instances) {
    Map<String, Member> members = new TreeMap<>();
    for (int i = 0; i < instances; i++) {
      String id = "entry-" + i;
      members.put(
          id, new Member(id, "127.0.0.1:1", "a", "region", 1, 0, MemberState.ALIVE, true, 0));
    }
    return new MembershipView(selfId, members, Set.of());
  }
}
