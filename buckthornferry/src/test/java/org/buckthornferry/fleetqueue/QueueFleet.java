package org.buckthornferry.fleetqueue;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.buckthornferry.catalog.Endpoint;
import org.buckthornferry.concurrency.CapacityModel;
import org.buckthornferry.concurrency.LimitPolicy;
import org.buckthornferry.control.Blackboard;
import org.buckthornferry.dispatch.AttemptOutcome;
import org.buckthornferry.dispatch.Priority;
import org.buckthornferry.dispatch.PromptPrefix;
import org.buckthornferry.dispatch.RequestSize;
import org.buckthornferry.dispatch.VersionPolicy;
import org.buckthornferry.fleet.EndpointList;
import org.buckthornferry.fleet.FleetView;
import org.buckthornferry.fleet.PeerCaller;
import org.buckthornferry.fleet.PeerMessageKind;
import org.buckthornferry.http.Addresses;
import org.buckthornferry.testing.ManualScheduler;
import org.buckthornferry.testing.VirtualInstances;
import org.buckthornferry.util.Rendezvous;

/** Instances with a fleet-wide queue, and the endpoints of its service, on virtual time. */
final class QueueFleet {
  static final String SERVICE = "s";
  static final int ENDPOINTS = 3;
  static final int ALL_SLOTS = 6;
  private static final int SLOTS = ALL_SLOTS / ENDPOINTS;
  private static final long DEADLINE_MILLIS = 20_000;
  private static final CompletableFuture<byte[]> LOST = new CompletableFuture<>();

  final ManualScheduler time = new ManualScheduler();
  final Map<String, Instance> instances = new TreeMap<>();
  final List<Request> requests = new ArrayList<>();
  final Map<String, Double> processorShares = new HashMap<>();
  long runMillis = 100;
  int rejections;
  private final VirtualInstances network = new VirtualInstances(time, /* store= */ null);
  private final Map<String, InetSocketAddress> listed = new TreeMap<>();
  private final Map<String, Set<Request>> engines = new TreeMap<>();
  private final List<Endpoint> endpoints = new ArrayList<>();
  private long lastIncarnation;

  QueueFleet(int instanceCount) {
    for (int i = 1; i <= ENDPOINTS; i++) {
      InetSocketAddress address = Addresses.parse("127.0.0.1:" + (20_000 + i));
      endpoints.add(new Endpoint("e" + i, SERVICE, address, "", "v1", SLOTS, false, 0, 0, 0));
      engines.put("e" + i, new HashSet<>());
    }
    for (int i = 1; i <= instanceCount; i++) {
      listed.put("i" + i, Addresses.parse("127.0.0.1:" + (10_000 + i)));
    }
    listed.keySet().forEach(this::start);
  }

  /** Starts a process of an instance. */
  Instance start(String id) {
    Instance instance = new Instance(id, ++lastIncarnation);
    instances.put(id, instance);
    return instance;
  }

  /** Returns an instance by its place in the order of coordinators. */
  Instance inOrder(int place) {
    return instances.get(Rendezvous.order("queue/" + SERVICE, listed.keySet()).get(place));
  }

  /** Lets one instance not see the registration of another one, which gives two coordinators. */
  void hide(String hiddenId, Instance from) {
    Map<String, InetSocketAddress> seen = new TreeMap<>(listed);
    seen.remove(hiddenId);
    from.applyView(seen);
  }

  /** Ends the registration of an instance. */
  void unlist(String id) {
    listed.remove(id);
    applyView();
  }

  /** Lets all instances see the registered ones. */
  void applyView() {
    instances.values().forEach(instance -> instance.applyView(listed));
  }

  List<Request> submit(Instance instance, int count) {
    List<Request> submitted = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      Request request = new Request(instance, requests.size() + 1L);
      requests.add(request);
      instance.requests.put(request.number, request);
      request.enqueue();
      submitted.add(request);
    }
    return submitted;
  }

  int running() {
    return engines.values().stream().mapToInt(Set::size).sum();
  }

  /** What has become of a request. */
  enum State {
    WAITING,
    WITHDRAWN,
    RUNNING,
    DONE,
    REFUSED,
    LOCAL
  }

  /** A request at its instance. */
  final class Request {
    final Instance instance;
    final long number;
    State state = State.WAITING;
    private final long arrivalMillis = time.nowMillis();
    private String endpointId = "";

    private Request(Instance instance, long number) {
      this.instance = instance;
      this.number = number;
    }

    private void enqueue() {
      if (instance.client.isAvailable()) {
        instance.client.submit(number);
      } else {
        state = State.LOCAL;
      }
    }

    void withdraw() {
      state = State.WITHDRAWN;
      instance.client.withdraw(number);
    }

    private void onGranted(String grantedId) {
      endpointId = grantedId;
      if (engines.get(grantedId).size() >= SLOTS) {
        rejections++;
        end(AttemptOutcome.FULL, Optional.empty());
        enqueue();
        return;
      }
      engines.get(grantedId).add(this);
      state = State.RUNNING;
      EndedRun.Timing timing = new EndedRun.Timing(runMillis, 0, 0, 0);
      time.schedule(
          () -> {
            engines.get(grantedId).remove(this);
            state = State.DONE;
            instance.process.schedule(
                () -> end(AttemptOutcome.COMPLETED, Optional.of(timing)), /* delayMillis= */ 0);
          },
          runMillis);
    }

    private void end(AttemptOutcome outcome, Optional<EndedRun.Timing> timing) {
      instance.client.onEnded(new EndedRun(endpointId, number, outcome, timing));
    }

    private Ticket ticket() {
      long ageMillis = time.nowMillis() - arrivalMillis;
      long leftMillis = DEADLINE_MILLIS - ageMillis;
      Priority priority = new Priority(0, 0);
      RequestSize size = new RequestSize(0, 0, 0);
      return new Ticket(
          number,
          "r",
          priority,
          false,
          size,
          PromptPrefix.NONE,
          leftMillis,
          leftMillis,
          leftMillis,
          0,
          ageMillis,
          false,
          false,
          false,
          Set.of());
    }
  }

  /** One process of an instance. */
  final class Instance implements QueueClient.Listener {
    final String id;
    final VirtualInstances.Node process;
    final Map<Long, Request> requests = new TreeMap<>();
    final Map<PeerMessageKind, Integer> calls = new HashMap<>();
    final MetricRegistry registry = new MetricRegistry();
    final QueueCoordinator coordinator;
    final QueueClients clients;
    final QueueClient client;
    boolean losesPushes;
    boolean losesAcknowledgements;
    private final Consumer<FleetView> viewWriter;

    private Instance(String id, long incarnation) {
      this.id = id;
      this.process = network.start(listed.get(id));
      Blackboard blackboard = new Blackboard();
      viewWriter = blackboard.writerOf(FleetView.ENTRY);
      blackboard.writerOf(EndpointList.ENTRY).accept(new EndpointList(endpoints, true));
      PeerCaller peers =
          (other, kind, message, timeoutMillis) -> {
            calls.merge(kind, 1, Integer::sum);
            return process.call(other, kind.name(), message, timeoutMillis);
          };
      LimitPolicy limits = new LimitPolicy(OptionalInt.empty(), OptionalInt.of(SLOTS));
      SplittableRandom random = new SplittableRandom(incarnation);
      coordinator =
          new QueueCoordinator(
              blackboard,
              peers,
              id,
              incarnation,
              service -> new FleetQueue(new CapacityModel(limits), VersionPolicy.ANY, random),
              process,
              process,
              registry);
      clients = new QueueClients(blackboard, peers, id, incarnation, coordinator, process, process);
      client = clients.create(SERVICE, this);
      process.respondWith(this::answer);
      applyView(listed);
    }

    private void applyView(Map<String, InetSocketAddress> seen) {
      viewWriter.accept(new FleetView(seen, Map.of(), Map.of(), Map.of(), processorShares));
      coordinator.refresh();
      clients.refresh();
    }

    private CompletableFuture<byte[]> answer(String kind, byte[] message) {
      try {
        if (kind.equals(PeerMessageKind.QUEUE.name())) {
          return CompletableFuture.completedFuture(coordinator.answer(message));
        }
        if (losesPushes) {
          return LOST;
        }
        byte[] reply = clients.answer(message);
        return losesAcknowledgements ? LOST : CompletableFuture.completedFuture(reply);
      } catch (IOException e) {
        return CompletableFuture.failedFuture(e);
      }
    }

    /** Ends the process and what it runs. */
    void kill() {
      process.kill();
      engines.values().forEach(engine -> engine.removeAll(requests.values()));
    }

    boolean coordinates() {
      return !coordinator.describe().isEmpty();
    }

    long granted() {
      return registry.counter("queue.granted").getCount();
    }

    @Override
    public void onDecision(Decision decision) {
      Request request = requests.get(decision.ticketNumber());
      if (request.state != State.WAITING) {
        throw new AssertionError("decision for a request that is " + request.state);
      }
      if (decision.isGranted()) {
        request.onGranted(decision.endpointId());
      } else {
        request.state = State.REFUSED;
      }
    }

    @Override
    public Optional<Ticket> ticket(long number) {
      return Optional.of(requests.get(number))
          .filter(request -> request.state == State.WAITING)
          .map(Request::ticket);
    }

    @Override
    public void onUnavailable(List<Long> ticketNumbers) {
      ticketNumbers.forEach(number -> requests.get(number).state = State.LOCAL);
    }

    @Override
    public Map<String, Integer> running() {
      Map<String, Integer> running = new HashMap<>();
      for (Request request : requests.values()) {
        if (request.state == State.RUNNING) {
          running.merge(request.endpointId, 1, Integer::sum);
        }
      }
      return running;
    }
  }
}
