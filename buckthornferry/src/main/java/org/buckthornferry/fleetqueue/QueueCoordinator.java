package org.buckthornferry.fleetqueue;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import org.buckthornferry.catalog.Endpoint;
import org.buckthornferry.control.Blackboard;
import org.buckthornferry.dispatch.AttemptOutcome;
import org.buckthornferry.fleet.EndpointList;
import org.buckthornferry.fleet.FleetView;
import org.buckthornferry.fleet.PeerCaller;
import org.buckthornferry.fleet.PeerMessageKind;
import org.buckthornferry.fleet.UnresponsivePeers;
import org.buckthornferry.util.Completions;
import org.buckthornferry.util.MonotonicClock;
import org.buckthornferry.util.Scheduler;
import org.jboss.logging.Logger;

/**
 * Serves the fleet-wide queues that this instance coordinates: takes the calls of instances, lets
 * {@link FleetQueue} decide, and pushes decisions that are made later. A push that fails is
 * repeated in the reply to the instance's next call. Used by one thread.
 */
public final class QueueCoordinator {
  private static final Logger LOG = Logger.getLogger(QueueCoordinator.class);

  /** Timeout of a push, in milliseconds; the instance calls within 250 ms while it waits. */
  private static final long PUSH_TIMEOUT_MILLIS = 200;

  /** Delay before decisions are pushed again to an instance that did not reply, in milliseconds. */
  private static final long PUSH_RETRY_MILLIS = 2_000;

  /**
   * Time without a call after which an instance's tickets and runs are dropped, in milliseconds;
   * three times the interval at which it states what it runs.
   */
  private static final long MEMBER_EXPIRY_MILLIS = 3_000;

  /** Time without a call after which a queue is dropped, in milliseconds. */
  private static final long QUEUE_EXPIRY_MILLIS = 10_000;

  /** The interval of the checks for expired instances and queues, in milliseconds. */
  private static final long CHECK_INTERVAL_MILLIS = 500;

  /** The interval between two log lines on a queue, in milliseconds. */
  private static final long LOG_INTERVAL_MILLIS = 5_000;

  /**
   * The shortest delay of a decision by timer, in milliseconds. The queue asks for a decision every
   * millisecond while an overdue ticket waits that must not be refused.
   */
  private static final long MIN_TIMER_MILLIS = 4;

  private final Blackboard blackboard;
  private final PeerCaller peers;
  private final String selfId;
  private final long incarnation;
  private final Function<String, FleetQueue> queueFactory;
  private final Scheduler scheduler;
  private final MonotonicClock clock;
  private final UnresponsivePeers unresponsive;
  private final Map<String, Coordinated> coordinated = new HashMap<>();
  private final Counter granted;
  private final Counter refused;
  private final Counter calls;
  private final Counter pushes;
  private Consumer<QueueMessages.Push> localReceiver = push -> {};
  private boolean isCheckScheduled;
  private boolean isStopped;

  /** A queue that this instance coordinates. */
  private static final class Coordinated {
    private final String service;
    private final FleetQueue queue;
    private final Map<String, Member> members = new HashMap<>();
    private List<Endpoint> endpoints = List.of();
    private long calledNanos;
    private long loggedNanos;
    private Scheduler.Task timer = Scheduler.Task.NONE;
    private long timerNanos = FleetQueue.NEVER;
    private long dueNanos = FleetQueue.NEVER;
    private boolean isPushScheduled;

    private Coordinated(String service, FleetQueue queue, long nowNanos) {
      this.service = service;
      this.queue = queue;
      this.calledNanos = nowNanos;
      this.loggedNanos = nowNanos;
    }
  }

  /** An instance that uses a queue. */
  private static final class Member {
    private final String id;
    private final long incarnation;
    private final Set<Long> waiting = new HashSet<>();
    private List<Decision> undelivered = new ArrayList<>();
    private int unacknowledged;
    private int completeCalls;
    private long calledNanos;
    private boolean wasRegistered;

    private Member(String id, long incarnation) {
      this.id = id;
      this.incarnation = incarnation;
    }

    private List<Decision> takeUndelivered() {
      List<Decision> all = undelivered;
      int count = Math.min(all.size(), QueueMessages.MAX_ELEMENTS);
      undelivered = new ArrayList<>(all.subList(count, all.size()));
      return List.copyOf(all.subList(0, count));
    }
  }

  /**
   * Creates a coordinator of no queue.
   *
   * @param incarnation a random number that identifies this process
   * @param queueFactory creates the queue of a service; null if there is no such service
   */
  public QueueCoordinator(
      Blackboard blackboard,
      PeerCaller peers,
      String selfId,
      long incarnation,
      Function<String, FleetQueue> queueFactory,
      Scheduler scheduler,
      MonotonicClock clock,
      MetricRegistry registry) {
    this.blackboard = blackboard;
    this.peers = peers;
    this.selfId = selfId;
    this.incarnation = incarnation;
    this.queueFactory = queueFactory;
    this.scheduler = scheduler;
    this.clock = clock;
    this.unresponsive = new UnresponsivePeers(PUSH_RETRY_MILLIS, clock);
    this.granted = registry.counter("queue.granted");
    this.refused = registry.counter("queue.refused");
    this.calls = registry.counter("queue.calls");
    this.pushes = registry.counter("queue.pushes");
    registry.gauge("queue.waiting", () -> (Gauge<Integer>) this::waiting);
  }

  /** Sets what receives the decisions for this instance itself. */
  void deliverLocallyTo(Consumer<QueueMessages.Push> receiver) {
    localReceiver = receiver;
  }

  /** Handles a QUEUE call. */
  public byte[] answer(byte[] message) throws IOException {
    return QueueMessages.encodeReply(handle(QueueMessages.decodeRequest(message)));
  }

  /** Handles a call; fails if the service does not exist. */
  QueueMessages.Reply handle(QueueMessages.Request request) throws IOException {
    long nowNanos = clock.nanoTime();
    calls.inc();
    Coordinated own = coordinated.get(request.service());
    if (own == null) {
      own = begin(request.service(), nowNanos);
    }
    Member member = member(own, request, nowNanos);
    own.calledNanos = nowNanos;
    member.calledNanos = nowNanos;
    apply(own, member, request, nowNanos);
    boolean isDecisionDue =
        !request.tickets().isEmpty()
            || !request.ended().isEmpty()
            || request.running().isPresent()
            || request.isComplete();
    if (isDecisionDue) {
      decide(own, member.id, nowNanos);
    }
    List<Decision> decisions = member.takeUndelivered();
    int held = member.waiting.size() + member.undelivered.size() + member.unacknowledged;
    return new QueueMessages.Reply(incarnation, decisions, held);
  }

  private Coordinated begin(String service, long nowNanos) throws IOException {
    FleetQueue queue = queueFactory.apply(service);
    if (queue == null) {
      throw new IOException("unknown service " + service);
    }
    Coordinated own = new Coordinated(service, queue, nowNanos);
    coordinated.put(service, own);
    applyEndpoints(own, nowNanos);
    LOG.infof("queue.coordinating service=%s", service);
    scheduleCheck();
    return own;
  }

  private Member member(Coordinated own, QueueMessages.Request request, long nowNanos) {
    Member member = own.members.get(request.senderId());
    if (member != null && member.incarnation == request.senderIncarnation()) {
      return member;
    }
    if (member != null) {
      LOG.infof("queue.instance_restarted service=%s instance=%s", own.service, member.id);
      remove(own, member);
      own.queue.forgetNumbers(member.id);
    }
    Member created = new Member(request.senderId(), request.senderIncarnation());
    created.calledNanos = nowNanos;
    created.wasRegistered = fleet().listed().containsKey(created.id);
    own.members.put(created.id, created);
    return created;
  }

  private void apply(Coordinated own, Member member, QueueMessages.Request request, long nowNanos) {
    if (request.isComplete()) {
      reset(own, member, request.tickets(), nowNanos);
    }
    for (EndedRun run : request.ended()) {
      own.queue.onEnded(member.id, run, nowNanos);
    }
    for (Long number : request.withdrawn()) {
      withdraw(own, member, number);
    }
    String failureDomain = fleet().failureDomains().getOrDefault(member.id, "");
    for (Ticket ticket : request.tickets()) {
      member.waiting.add(ticket.number());
      own.queue.submit(member.id, failureDomain, ticket, nowNanos);
    }
    if (request.running().isPresent()) {
      own.queue.setRunning(member.id, request.running().get(), nowNanos);
    }
  }

  /** Forgets tickets that an instance does not state any more, and grants that did not reach it. */
  private static void reset(Coordinated own, Member member, List<Ticket> stated, long nowNanos) {
    Set<Long> numbers = new HashSet<>();
    stated.forEach(ticket -> numbers.add(ticket.number()));
    for (Long number : List.copyOf(member.waiting)) {
      if (!numbers.contains(number)) {
        withdraw(own, member, number);
      }
    }
    for (Decision decision : member.undelivered) {
      if (decision.isGranted()) {
        own.queue.onEnded(member.id, unused(decision), nowNanos);
      }
    }
    member.undelivered.clear();
    member.completeCalls++;
  }

  private static void withdraw(Coordinated own, Member member, long ticketNumber) {
    if (member.waiting.remove(ticketNumber)) {
      own.queue.withdraw(member.id, ticketNumber);
    }
  }

  /** Returns the end of a grant that is not used. */
  static EndedRun unused(Decision grant) {
    return new EndedRun(
        grant.endpointId(), grant.ticketNumber(), AttemptOutcome.CANCELLED, Optional.empty());
  }

  private void decide(Coordinated own, long nowNanos) {
    decide(own, /* callerId= */ "", nowNanos);
  }

  /** Decides and pushes the decisions, except those of a caller, which gets them in its reply. */
  private void decide(Coordinated own, String callerId, long nowNanos) {
    own.queue
        .decide(nowNanos)
        .forEach(
            (instanceId, decisions) -> {
              Member member = own.members.get(instanceId);
              if (member == null) {
                return;
              }
              for (Decision decision : decisions) {
                member.waiting.remove(decision.ticketNumber());
                (decision.isGranted() ? granted : refused).inc();
              }
              member.undelivered.addAll(decisions);
              if (!instanceId.equals(callerId)) {
                schedulePush(own);
              }
            });
    own.dueNanos = own.queue.nextDueNanos(nowNanos);
    setTimer(own, nowNanos);
  }

  /** Sets the timer, unless it runs early enough already; it checks what is due when it fires. */
  private void setTimer(Coordinated own, long nowNanos) {
    if (own.dueNanos == FleetQueue.NEVER || isStopped) {
      return;
    }
    boolean isSet = own.timerNanos != FleetQueue.NEVER;
    if (isSet && own.timerNanos - own.dueNanos <= 0) {
      return;
    }
    long dueMillis =
        TimeUnit.NANOSECONDS.toMillis(own.dueNanos - nowNanos + TimeUnit.MILLISECONDS.toNanos(1));
    long delayMillis = Math.max(MIN_TIMER_MILLIS, dueMillis);
    long timerNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(delayMillis);
    if (isSet && own.timerNanos - timerNanos <= 0) {
      return;
    }
    own.timer.cancel();
    own.timerNanos = timerNanos;
    own.timer = scheduler.schedule(() -> onTimer(own), delayMillis);
  }

  private void onTimer(Coordinated own) {
    own.timerNanos = FleetQueue.NEVER;
    if (coordinated.get(own.service) != own || own.dueNanos == FleetQueue.NEVER) {
      return;
    }
    long nowNanos = clock.nanoTime();
    if (own.dueNanos - nowNanos <= 0) {
      decide(own, nowNanos);
    } else {
      setTimer(own, nowNanos);
    }
  }

  /** Pushes at the end of this turn, so that an instance gets one call with all its decisions. */
  private void schedulePush(Coordinated own) {
    if (!own.isPushScheduled) {
      own.isPushScheduled = true;
      scheduler.schedule(() -> push(own), 0);
    }
  }

  private void push(Coordinated own) {
    own.isPushScheduled = false;
    if (coordinated.get(own.service) != own) {
      return;
    }
    for (Member member : List.copyOf(own.members.values())) {
      if (!member.undelivered.isEmpty()) {
        push(own, member);
      }
    }
  }

  private void push(Coordinated own, Member member) {
    if (member.id.equals(selfId)) {
      localReceiver.accept(
          new QueueMessages.Push(selfId, incarnation, own.service, member.takeUndelivered()));
      return;
    }
    InetSocketAddress address = fleet().addresses().get(member.id);
    if (address == null || unresponsive.isInBackoff(member.id)) {
      return;
    }
    List<Decision> decisions = member.takeUndelivered();
    member.unacknowledged += decisions.size();
    int completeCalls = member.completeCalls;
    pushes.inc();
    byte[] message =
        QueueMessages.encodePush(
            new QueueMessages.Push(selfId, incarnation, own.service, decisions));
    Completions.onComplete(
        peers.call(address, PeerMessageKind.QUEUE_DECISIONS, message, PUSH_TIMEOUT_MILLIS),
        (reply, failure) -> {
          member.unacknowledged -= decisions.size();
          if (failure == null) {
            unresponsive.onReply(member.id);
            return;
          }
          if (unresponsive.onNoReply(member.id)) {
            LOG.infof(
                "queue.push_failed service=%s instance=%s reason=\"%s\"",
                own.service, member.id, failure);
          }
          // After a complete call the instance has submitted the tickets anew.
          if (member.completeCalls == completeCalls) {
            member.undelivered.addAll(decisions);
          }
        });
  }

  /** Applies changed endpoints and instances to the queues. */
  public void refresh() {
    if (coordinated.isEmpty()) {
      return;
    }
    long nowNanos = clock.nanoTime();
    for (Coordinated own : coordinated.values()) {
      boolean isChanged = applyEndpoints(own, nowNanos);
      boolean isRemoved = removeAbsent(own, nowNanos);
      if (isChanged || isRemoved) {
        decide(own, nowNanos);
      }
    }
    unresponsive.retainAll(fleet().instanceIds());
  }

  /** Applies the endpoints of a service to its queue; returns whether they have changed. */
  private boolean applyEndpoints(Coordinated own, long nowNanos) {
    List<Endpoint> endpoints =
        blackboard.read(EndpointList.ENTRY).endpoints().stream()
            .filter(endpoint -> endpoint.serviceName().equals(own.service))
            .toList();
    if (endpoints.equals(own.endpoints)) {
      return false;
    }
    own.endpoints = endpoints;
    own.queue.setEndpoints(endpoints, nowNanos);
    return true;
  }

  /** Removes the instances that have left or do not call; returns whether there were any. */
  private boolean removeAbsent(Coordinated own, long nowNanos) {
    Set<String> known = new HashSet<>(fleet().instanceIds());
    Set<String> listed = fleet().listed().keySet();
    boolean isRemoved = false;
    for (Member member : List.copyOf(own.members.values())) {
      member.wasRegistered |= listed.contains(member.id);
      boolean hasLeft = member.wasRegistered && !known.contains(member.id);
      boolean isSilent =
          nowNanos - member.calledNanos >= TimeUnit.MILLISECONDS.toNanos(MEMBER_EXPIRY_MILLIS);
      if (hasLeft || isSilent) {
        if (!member.waiting.isEmpty()) {
          LOG.infof(
              "queue.instance_dropped service=%s instance=%s waiting=%d hasLeft=%s",
              own.service, member.id, member.waiting.size(), hasLeft);
        }
        remove(own, member);
        isRemoved = true;
      }
    }
    return isRemoved;
  }

  private static void remove(Coordinated own, Member member) {
    own.members.remove(member.id, member);
    own.queue.removeInstance(member.id);
  }

  private void scheduleCheck() {
    if (!isCheckScheduled && !isStopped) {
      isCheckScheduled = true;
      scheduler.schedule(this::check, CHECK_INTERVAL_MILLIS);
    }
  }

  /** Drops what is not used any more; runs only while this instance coordinates a queue. */
  private void check() {
    isCheckScheduled = false;
    long nowNanos = clock.nanoTime();
    Iterator<Coordinated> queues = coordinated.values().iterator();
    while (queues.hasNext()) {
      Coordinated own = queues.next();
      if (removeAbsent(own, nowNanos)) {
        decide(own, nowNanos);
      }
      if (nowNanos - own.calledNanos >= TimeUnit.MILLISECONDS.toNanos(QUEUE_EXPIRY_MILLIS)) {
        LOG.infof("queue.forgotten service=%s", own.service);
        own.timer.cancel();
        queues.remove();
      } else if (nowNanos - own.loggedNanos >= TimeUnit.MILLISECONDS.toNanos(LOG_INTERVAL_MILLIS)) {
        LOG.infof("queue.load service=%s %s", own.service, own.queue.describe());
        own.loggedNanos = nowNanos;
      }
    }
    if (!coordinated.isEmpty()) {
      scheduleCheck();
    }
  }

  /** Ends all timers. Calls are still answered, without later decisions. */
  public void stop() {
    isStopped = true;
    coordinated.values().forEach(own -> own.timer.cancel());
  }

  /** Returns the state of each queue by service, for the state dump. */
  public Map<String, String> describe() {
    Map<String, String> lines = new TreeMap<>();
    coordinated.forEach(
        (service, own) ->
            lines.put(service, own.queue.describe() + " instances=" + own.members.size()));
    return lines;
  }

  private int waiting() {
    int waiting = 0;
    for (Coordinated own : coordinated.values()) {
      for (Member member : own.members.values()) {
        waiting += member.waiting.size();
      }
    }
    return waiting;
  }

  private FleetView fleet() {
    return blackboard.read(FleetView.ENTRY);
  }
}
