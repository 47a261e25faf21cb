package org.buckthornferry.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import org.buckthornferry.dispatch.AttemptOutcome;
import org.buckthornferry.dispatch.Dispatcher;
import org.buckthornferry.dispatch.Placement;
import org.buckthornferry.dispatch.WaitingRequest;
import org.buckthornferry.fleetqueue.Decision;
import org.buckthornferry.fleetqueue.EndedRun;
import org.buckthornferry.fleetqueue.QueueClient;
import org.buckthornferry.fleetqueue.Ticket;
import org.buckthornferry.util.MonotonicClock;

/**
 * The requests of one service that wait in the queue of all instances. Carries out the decisions of
 * the coordinator, and hands requests to the local dispatcher while there is none.
 */
final class FleetScheduling implements QueueClient.Listener {
  /**
   * After so many grants that this instance cannot use, a request is placed locally: the
   * coordinator does not know what this instance knows of the endpoints.
   */
  private static final int MAX_UNUSABLE_GRANTS = 3;

  /** The maximum number of requests of this instance in the queue, which bounds their memory. */
  private static final int MAX_WAITING = 512;

  private final Dispatcher dispatcher;
  private final MonotonicClock clock;
  private final Runnable onChanged;
  private final QueueClient client;
  private final Map<Long, Entry> waiting = new LinkedHashMap<>();
  private final Map<WaitingRequest, Entry> entries = new HashMap<>();
  private long lastNumber;

  /** A request that has a ticket, from its first submission to its end. */
  private static final class Entry {
    private final WaitingRequest request;
    private final long number;
    private final Set<String> unusableEndpoints = new HashSet<>();
    private boolean isGranted;
    private boolean hasEnded;

    private Entry(WaitingRequest request, long number) {
      this.request = request;
      this.number = number;
    }
  }

  /**
   * Creates the scheduling of a service.
   *
   * @param onChanged called when requests were handed to the dispatcher
   */
  FleetScheduling(
      String serviceName,
      BiFunction<String, QueueClient.Listener, QueueClient> clients,
      Dispatcher dispatcher,
      MonotonicClock clock,
      Runnable onChanged) {
    this.dispatcher = dispatcher;
    this.clock = clock;
    this.onChanged = onChanged;
    this.client = clients.apply(serviceName, this);
  }

  int waiting() {
    return waiting.size();
  }

  /** Submits a request to the coordinator; returns false if it has to be placed locally. */
  boolean submit(WaitingRequest request) {
    boolean isPossible =
        client.isAvailable()
            && waiting.size() < MAX_WAITING
            && dispatcher.mayUseCoordinator(request, clock.nanoTime());
    if (!isPossible) {
      return false;
    }
    Entry entry = entries.computeIfAbsent(request, key -> new Entry(key, ++lastNumber));
    if (entry.unusableEndpoints.size() >= MAX_UNUSABLE_GRANTS) {
      return false;
    }
    waiting.put(entry.number, entry);
    client.submit(entry.number);
    return true;
  }

  /** Forgets a request that has ended; its attempt may go on. */
  void remove(WaitingRequest request) {
    Entry entry = entries.get(request);
    if (entry == null) {
      return;
    }
    entry.hasEnded = true;
    if (waiting.remove(entry.number) != null) {
      client.withdraw(entry.number);
    }
    if (!entry.isGranted) {
      entries.remove(request);
    }
  }

  /** Reports the end of an attempt, if the coordinator has granted its slot. */
  void onAttemptEnded(
      Placement placement, AttemptOutcome outcome, Optional<EndedRun.Timing> timing) {
    Entry entry = entries.get(placement.request());
    if (entry == null || !entry.isGranted) {
      return;
    }
    entry.isGranted = false;
    client.onEnded(new EndedRun(placement.endpoint().id(), entry.number, outcome, timing));
    if (entry.hasEnded) {
      entries.remove(entry.request);
    }
  }

  @Override
  public void onDecision(Decision decision) {
    Entry entry = waiting.remove(decision.ticketNumber());
    if (entry == null) {
      return;
    }
    if (!decision.isGranted()) {
      entry
          .request
          .listener()
          .onRefused(decision.reason(), decision.detail(), decision.retryAfterMillis());
      return;
    }
    entry.isGranted = true;
    if (dispatcher.placeAt(entry.request, decision.endpointId(), clock.nanoTime())) {
      return;
    }
    entry.isGranted = false;
    entry.unusableEndpoints.add(decision.endpointId());
    client.onEnded(
        new EndedRun(
            decision.endpointId(), entry.number, AttemptOutcome.HELD_BACK, Optional.empty()));
    if (!submit(entry.request)) {
      placeLocally(List.of(entry));
    }
  }

  @Override
  public Optional<Ticket> ticket(long number) {
    return Optional.ofNullable(waiting.get(number)).map(this::ticket);
  }

  private Ticket ticket(Entry entry) {
    WaitingRequest request = entry.request;
    long nowNanos = clock.nanoTime();
    Set<String> excluded = new HashSet<>(request.excludedEndpoints());
    excluded.addAll(entry.unusableEndpoints);
    return new Ticket(
        entry.number,
        request.routeName(),
        request.priority(),
        request.isLong(),
        request.size(),
        request.promptPrefix(),
        millis(request.goalNanos() - nowNanos),
        millis(request.patienceNanos() - nowNanos),
        millis(request.deadlineNanos() - nowNanos),
        request.gapGoalMillis(),
        millis(nowNanos - request.arrivalNanos()),
        request.hasBeenSent(),
        request.isContinuation(),
        request.isCallerRetry(),
        excluded);
  }

  private static long millis(long nanos) {
    return TimeUnit.NANOSECONDS.toMillis(nanos);
  }

  @Override
  public void onUnavailable(List<Long> ticketNumbers) {
    List<Entry> affected = new ArrayList<>();
    for (long number : ticketNumbers) {
      Entry entry = waiting.remove(number);
      if (entry != null) {
        affected.add(entry);
      }
    }
    placeLocally(affected);
  }

  private void placeLocally(List<Entry> affected) {
    for (Entry entry : affected) {
      entry.request.markHandedOver();
      dispatcher.submit(entry.request, clock.nanoTime());
    }
    onChanged.run();
  }

  @Override
  public Map<String, Integer> running() {
    return dispatcher.runningByEndpoint();
  }

  void stop() {
    client.stop();
  }
}
