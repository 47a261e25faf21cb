package org.buckthornferry.fleetqueue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.buckthornferry.fleet.FleetView;
import org.buckthornferry.fleet.UnresponsivePeers;
import org.buckthornferry.util.Completions;
import org.buckthornferry.util.MonotonicClock;
import org.buckthornferry.util.Rendezvous;
import org.buckthornferry.util.Scheduler;
import org.jboss.logging.Logger;

/**
 * An instance's side of the fleet-wide queue of one service: submits tickets to the coordinator and
 * hands its decisions to a listener. Listener methods are called from tasks of the event loop,
 * never from within a method that the listener's owner calls. Used by one thread.
 */
public final class QueueClient {
  private static final Logger LOG = Logger.getLogger(QueueClient.class);

  /** The longest time between two calls while tickets wait, in milliseconds. */
  private static final long WAITING_INTERVAL_MILLIS = 250;

  /** The time between two statements of running requests, in milliseconds. */
  private static final long STATEMENT_INTERVAL_MILLIS = 1_000;

  /** The number of coordinators in a row without a reply after which requests run without one. */
  private static final int MAX_FAILURES = 2;

  /** Delay before a coordinator is tried again while there is none, in milliseconds. */
  private static final long RETRY_MILLIS = 400;

  /** Delay before an earlier choice is tried while a later one replies, in milliseconds. */
  private static final long PROBE_INTERVAL_MILLIS = 2_000;

  /**
   * The number of instances, in order, that are tried. An instance that reaches no other one would
   * otherwise go through the whole fleet.
   */
  private static final int MAX_CANDIDATES = 8;

  private final String service;
  private final Listener listener;
  private final QueueCalls calls;
  private final Scheduler scheduler;
  private final MonotonicClock clock;
  private final UnresponsivePeers unresponsive;

  private final Set<Long> tickets = new LinkedHashSet<>();
  private final Set<Long> unsent = new LinkedHashSet<>();
  private final Set<Long> told = new HashSet<>();
  private final Map<Long, String> grants = new HashMap<>();
  private final List<Long> withdrawn = new ArrayList<>();
  private final List<EndedRun> ended = new ArrayList<>();

  private String coordinatorId = "";
  private Optional<Long> coordinatorIncarnation = Optional.empty();
  private boolean isCompleteDue = true;
  private boolean hasStatedRuns;
  private boolean isCallDue;
  private boolean isInFlight;
  private boolean isFlushScheduled;
  private boolean isWithoutCoordinator;
  private boolean isProbing;
  private boolean isStopped;
  private int failures;
  private int retries;
  private long sentNanos;
  private long statedNanos;
  private long probedNanos;
  private Scheduler.Task timer = Scheduler.Task.NONE;
  private Scheduler.Task retry = Scheduler.Task.NONE;
  private boolean isTimerSet;
  private long timerNanos;
  private FleetView orderedFleet = FleetView.EMPTY;
  private List<String> order = List.of();

  /** Owns the waiting requests of this instance. */
  public interface Listener {
    /** Carries out a decision about a ticket that waits. */
    void onDecision(Decision decision);

    /**
     * Returns a ticket with the times left as of now, or empty if its request waits no longer.
     *
     * @param number the number with which the ticket was submitted
     */
    Optional<Ticket> ticket(long number);

    /** Takes back tickets about which no coordinator will decide. */
    void onUnavailable(List<Long> ticketNumbers);

    /** Returns the number of requests of this instance that run, by endpoint id. */
    Map<String, Integer> running();
  }

  QueueClient(
      String service,
      Listener listener,
      QueueCalls calls,
      Scheduler scheduler,
      MonotonicClock clock) {
    this.service = service;
    this.listener = listener;
    this.calls = calls;
    this.scheduler = scheduler;
    this.clock = clock;
    this.unresponsive = new UnresponsivePeers(RETRY_MILLIS, clock);
  }

  /** Returns whether a coordinator is known that replies. */
  public boolean isAvailable() {
    return !isStopped && !isWithoutCoordinator && !target().isEmpty();
  }

  /** Submits a ticket, or submits it again with its present state. */
  public void submit(long ticketNumber) {
    if (isStopped) {
      throw new IllegalStateException("the client has been stopped");
    }
    tickets.add(ticketNumber);
    unsent.add(ticketNumber);
    scheduleFlush();
  }

  /** Withdraws a ticket whose request waits no longer; a later grant is reported as unused. */
  public void withdraw(long ticketNumber) {
    tickets.remove(ticketNumber);
    unsent.remove(ticketNumber);
    if (told.remove(ticketNumber)) {
      withdrawn.add(ticketNumber);
      scheduleFlush();
    }
  }

  /** Reports the end of an attempt, or of a grant that was not used. */
  public void onEnded(EndedRun run) {
    grants.remove(run.ticketNumber(), run.endpointId());
    // The first call to the next coordinator states what runs then.
    if (!isWithoutCoordinator && !isStopped) {
      ended.add(run);
      scheduleFlush();
    }
  }

  /** Withdraws all tickets and ends the calls. The listener is not called any more. */
  public void stop() {
    if (isStopped) {
      return;
    }
    isStopped = true;
    timer.cancel();
    retry.cancel();
    tickets.clear();
    if (!coordinatorId.isEmpty()) {
      calls.leave(coordinatorId, service, List.of(), listener.running());
    }
  }

  /** Applies a change of the instances. */
  void refresh() {
    unresponsive.retainAll(calls.fleet().instanceIds());
    if (!target().equals(coordinatorId)) {
      scheduleFlush();
    }
  }

  /** Handles decisions that a coordinator has pushed. */
  void onPush(QueueMessages.Push push) {
    if (isStopped || !push.coordinatorId().equals(coordinatorId)) {
      Map<String, Integer> running = isStopped ? Map.of() : listener.running();
      calls.leave(push.coordinatorId(), service, push.decisions(), running);
      return;
    }
    push.decisions().forEach(this::onDecision);
    armTimer();
  }

  private void onDecision(Decision decision) {
    long number = decision.ticketNumber();
    boolean isWaiting = tickets.remove(number) && listener.ticket(number).isPresent();
    unsent.remove(number);
    told.remove(number);
    if (isWaiting) {
      if (decision.isGranted()) {
        grants.put(number, decision.endpointId());
      }
      try {
        listener.onDecision(decision);
      } catch (RuntimeException e) {
        LOG.errorf(e, "queue.decision_failed service=%s ticket=%d", service, number);
      }
      return;
    }
    // A push whose acknowledgement was lost is repeated; the slot is in use then.
    boolean isRepeated = decision.endpointId().equals(grants.get(number));
    if (decision.isGranted() && !isRepeated) {
      ended.add(QueueCoordinator.unused(decision));
      scheduleFlush();
    }
  }

  /** Collects what is due in this turn of the event loop into one call. */
  private void scheduleFlush() {
    if (!isFlushScheduled && !isInFlight && !isStopped) {
      isFlushScheduled = true;
      scheduler.schedule(this::flush, 0);
    }
  }

  private void flush() {
    isFlushScheduled = false;
    if (isInFlight || isStopped) {
      return;
    }
    String target = target();
    if (isWithoutCoordinator || target.isEmpty()) {
      runWithoutCoordinator();
      return;
    }
    if (!target.equals(coordinatorId)) {
      changeCoordinator(target);
    }
    boolean hasState = !tickets.isEmpty() || hasStatedRuns;
    boolean isDue =
        isCallDue
            || !unsent.isEmpty()
            || !withdrawn.isEmpty()
            || !ended.isEmpty()
            || (isCompleteDue && hasState);
    if (isDue) {
      send();
    }
  }

  private void changeCoordinator(String newId) {
    boolean isPreviousReachable =
        !unresponsive.contains(coordinatorId)
            && calls.fleet().addresses().containsKey(coordinatorId);
    if (isPreviousReachable) {
      calls.leave(coordinatorId, service, List.of(), listener.running());
    }
    LOG.infof(
        "queue.coordinator service=%s coordinator=%s previous=%s", service, newId, coordinatorId);
    coordinatorId = newId;
    coordinatorIncarnation = Optional.empty();
    isCompleteDue = true;
  }

  private void send() {
    sentNanos = clock.nanoTime();
    boolean isComplete = isCompleteDue;
    if (isComplete) {
      told.clear();
      withdrawn.clear();
      unsent.addAll(tickets);
    }
    isCompleteDue = false;
    isCallDue = false;
    isInFlight = true;
    QueueMessages.Request request =
        new QueueMessages.Request(
            calls.selfId(),
            calls.incarnation(),
            service,
            isComplete,
            takeTickets(),
            take(withdrawn),
            take(ended),
            takeStatement(isComplete));
    Completions.onComplete(
        calls.call(coordinatorId, request),
        (reply, failure) -> {
          isInFlight = false;
          if (isStopped) {
            return;
          }
          if (failure == null) {
            onReply(reply, isComplete);
          } else {
            onNoReply(failure);
          }
        });
  }

  /** Returns the number of running requests by endpoint if it is to be stated. */
  private Optional<Map<String, Integer>> takeStatement(boolean isComplete) {
    boolean isDue =
        isComplete
            || sentNanos - statedNanos >= TimeUnit.MILLISECONDS.toNanos(STATEMENT_INTERVAL_MILLIS);
    if (!isDue) {
      return Optional.empty();
    }
    Map<String, Integer> running = listener.running();
    statedNanos = sentNanos;
    hasStatedRuns = !running.isEmpty();
    return Optional.of(running);
  }

  private List<Ticket> takeTickets() {
    List<Ticket> taken = new ArrayList<>();
    Iterator<Long> numbers = unsent.iterator();
    while (numbers.hasNext() && taken.size() < QueueMessages.MAX_ELEMENTS) {
      long number = numbers.next();
      numbers.remove();
      Optional<Ticket> ticket = listener.ticket(number);
      if (ticket.isPresent()) {
        taken.add(ticket.get());
        told.add(number);
      } else {
        tickets.remove(number);
        if (told.remove(number)) {
          withdrawn.add(number);
        }
      }
    }
    return taken;
  }

  private static <T> List<T> take(List<T> elements) {
    List<T> first = elements.subList(0, Math.min(elements.size(), QueueMessages.MAX_ELEMENTS));
    List<T> taken = List.copyOf(first);
    first.clear();
    return taken;
  }

  private void onReply(QueueMessages.Reply reply, boolean wasComplete) {
    boolean isRestarted =
        coordinatorIncarnation.isPresent() && coordinatorIncarnation.get() != reply.incarnation();
    coordinatorIncarnation = Optional.of(reply.incarnation());
    reply.decisions().forEach(this::onDecision);
    boolean hasLostTickets = reply.held() < told.size();
    if (isRestarted || hasLostTickets) {
      LOG.infof(
          "queue.resubmitting service=%s coordinator=%s isRestarted=%s held=%d told=%d",
          service, coordinatorId, isRestarted, reply.held(), told.size());
    }
    if (wasComplete && hasLostTickets) {
      onNoReply(new IOException("the coordinator does not keep the tickets"));
      return;
    }
    failures = 0;
    unresponsive.onReply(coordinatorId);
    isCompleteDue |= !wasComplete && (isRestarted || hasLostTickets);
    scheduleFlush();
    armTimer();
  }

  private void onNoReply(Throwable cause) {
    if (unresponsive.onNoReply(coordinatorId)) {
      LOG.warnf(
          "queue.coordinator_lost service=%s coordinator=%s reason=\"%s\"",
          service, coordinatorId, cause);
    }
    isCompleteDue = true;
    failures++;
    if (failures >= MAX_FAILURES) {
      runWithoutCoordinator();
    } else {
      scheduleFlush();
    }
  }

  /** Hands all tickets back and tries a coordinator from time to time, if any instance is known. */
  private void runWithoutCoordinator() {
    if (!isWithoutCoordinator) {
      LOG.infof("queue.without_coordinator service=%s waiting=%d", service, tickets.size());
      isWithoutCoordinator = true;
      scheduleRetry();
    }
    coordinatorId = "";
    unsent.clear();
    told.clear();
    withdrawn.clear();
    ended.clear();
    if (!tickets.isEmpty()) {
      List<Long> numbers = List.copyOf(tickets);
      tickets.clear();
      listener.onUnavailable(numbers);
    }
  }

  private void scheduleRetry() {
    retry = scheduler.schedule(this::retryCoordinator, RETRY_MILLIS);
  }

  private void retryCoordinator() {
    List<String> candidates = candidates();
    if (candidates.isEmpty()) {
      scheduleRetry();
      return;
    }
    String target = target();
    String id = target.isEmpty() ? candidates.get(retries % candidates.size()) : target;
    retries++;
    probe(
        id,
        reply -> {
          LOG.infof("queue.coordinator_found service=%s coordinator=%s", service, id);
          isWithoutCoordinator = false;
          failures = 0;
          coordinatorId = id;
          coordinatorIncarnation = Optional.of(reply.incarnation());
          isCompleteDue = false;
          sentNanos = clock.nanoTime();
          armTimer();
        },
        this::scheduleRetry);
  }

  /** Calls an instance without tickets, to learn whether it replies. */
  private void probe(String instanceId, Consumer<QueueMessages.Reply> onReply, Runnable onNoReply) {
    Map<String, Integer> running = listener.running();
    hasStatedRuns |= !running.isEmpty();
    Completions.onComplete(
        calls.call(instanceId, calls.withoutTickets(service, List.of(), running)),
        (reply, failure) -> {
          if (isStopped) {
            return;
          }
          if (failure == null) {
            unresponsive.onReply(instanceId);
            onReply.accept(reply);
          } else {
            unresponsive.onNoReply(instanceId);
            onNoReply.run();
          }
        });
  }

  /** Sets the timer of the next regular call, unless it runs early enough already. */
  private void armTimer() {
    if (isStopped || isWithoutCoordinator) {
      return;
    }
    long dueNanos = nextCallNanos();
    if (isTimerSet && timerNanos - dueNanos <= 0) {
      return;
    }
    timer.cancel();
    isTimerSet = true;
    timerNanos = dueNanos;
    long delayNanos = dueNanos - clock.nanoTime() + TimeUnit.MILLISECONDS.toNanos(1) - 1;
    timer =
        scheduler.schedule(this::onTimer, Math.max(1, TimeUnit.NANOSECONDS.toMillis(delayNanos)));
  }

  private long nextCallNanos() {
    long intervalMillis = tickets.isEmpty() ? STATEMENT_INTERVAL_MILLIS : WAITING_INTERVAL_MILLIS;
    return sentNanos + TimeUnit.MILLISECONDS.toNanos(intervalMillis);
  }

  private void onTimer() {
    isTimerSet = false;
    if (isStopped || isWithoutCoordinator || isInFlight) {
      return;
    }
    long nowNanos = clock.nanoTime();
    if (nextCallNanos() - nowNanos > 0) {
      armTimer();
      return;
    }
    boolean isIdle = tickets.isEmpty() && !hasStatedRuns && listener.running().isEmpty();
    if (isIdle) {
      return;
    }
    isCallDue = true;
    probeEarlierChoice(nowNanos);
    flush();
  }

  /** Calls an instance that precedes the one in use but did not reply; it is used if it does. */
  private void probeEarlierChoice(long nowNanos) {
    boolean isTooEarly =
        nowNanos - probedNanos < TimeUnit.MILLISECONDS.toNanos(PROBE_INTERVAL_MILLIS);
    if (isProbing || isTooEarly) {
      return;
    }
    for (String candidate : candidates()) {
      if (candidate.equals(coordinatorId)) {
        return;
      }
      if (unresponsive.contains(candidate) && !unresponsive.isInBackoff(candidate)) {
        isProbing = true;
        probedNanos = nowNanos;
        probe(
            candidate,
            reply -> {
              isProbing = false;
              isCallDue = true;
              scheduleFlush();
            },
            () -> isProbing = false);
        return;
      }
    }
  }

  /** Returns the first candidate that has replied to its last call, or an empty text. */
  private String target() {
    for (String candidate : candidates()) {
      if (!unresponsive.contains(candidate)) {
        return candidate;
      }
    }
    return "";
  }

  /** Returns the instances that may coordinate, in order. */
  @SuppressWarnings("ReferenceEquality") // A view is replaced as a whole; asked per request.
  private List<String> candidates() {
    FleetView fleet = calls.fleet();
    if (fleet != orderedFleet) {
      orderedFleet = fleet;
      List<String> all = Rendezvous.order("queue/" + service, fleet.coordinatorIds());
      order = List.copyOf(all.subList(0, Math.min(MAX_CANDIDATES, all.size())));
    }
    return order;
  }

  /** Returns the state of the client in one line, for the state dump. */
  String describe() {
    return "coordinator="
        + coordinatorId
        + " available="
        + isAvailable()
        + " waiting="
        + tickets.size()
        + " granted="
        + grants.size();
  }
}
