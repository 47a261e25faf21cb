package org.buckthornferry.relay;

import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.buckthornferry.catalog.Customer;
import org.buckthornferry.catalog.Route;
import org.buckthornferry.dispatch.AttemptOutcome;
import org.buckthornferry.dispatch.Placement;
import org.buckthornferry.dispatch.Priority;
import org.buckthornferry.dispatch.RequestSize;
import org.buckthornferry.dispatch.WaitingRequest;
import org.buckthornferry.error.ErrorKind;
import org.buckthornferry.error.RequestException;
import org.buckthornferry.fleetqueue.EndedRun;
import org.buckthornferry.http.HttpCall;
import org.buckthornferry.http.HttpConnector;
import org.buckthornferry.http.HttpExchange;
import org.buckthornferry.http.HttpFailure;
import org.buckthornferry.http.HttpReply;
import org.buckthornferry.http.HttpResponseListener;
import org.buckthornferry.relay.EndpointProtocol.Reservation;
import org.buckthornferry.relay.EndpointProtocol.ResponseHead;
import org.buckthornferry.rollout.CanaryTrial;
import org.buckthornferry.util.Completions;
import org.buckthornferry.util.Scheduler;
import org.jboss.logging.Logger;

/** State machine of one request, from admission to the end of its response, over all attempts. */
final class RelayedRequest implements WaitingRequest.Listener {
  private static final Logger LOG = Logger.getLogger(RelayedRequest.class);

  /** Timeout of a reservation; short because the endpoint needs no slot to respond. */
  private static final long RESERVE_TIMEOUT_MILLIS = 300;

  /** The largest response to a reservation, which holds only an id. */
  private static final int MAX_RESERVATION_RESPONSE_BYTES = 64 << 10;

  /** No attempt is started with less than this time until the deadline. */
  private static final long MIN_ATTEMPT_MILLIS = 15;

  /** The minimum retry delay sent to a caller whose request did not run. */
  private static final long NOT_RUN_RETRY_AFTER_MILLIS = 150;

  /** Larger responses that are not event streams are forwarded in chunks. */
  private static final int MAX_BUFFERED_BYTES = 1 << 20;

  /** The timeout of the first event, as a multiple of its expected time. */
  private static final double FIRST_EVENT_TIMEOUT_FACTOR = 4;

  /** The timeout between two events, as a multiple of the route's event gap goal. */
  private static final double EVENT_GAP_TIMEOUT_FACTOR = 2.5;

  /** The minimum timeout of the first event; covers pauses of a busy engine. */
  private static final long MIN_FIRST_EVENT_TIMEOUT_MILLIS = 400;

  /**
   * The minimum timeout between two events; covers a preempted run and a sound endpoint that is
   * silent for a second or so.
   */
  private static final long MIN_EVENT_GAP_TIMEOUT_MILLIS = 1_600;

  /**
   * Time after which an endpoint that has begun to answer has survived it, in milliseconds. Parts
   * that crash endpoints do so with the first tokens.
   */
  private static final long SURVIVAL_MILLIS = 1_000;

  /** Prompt tokens whose prefill takes an engine about as long as generating one event. */
  private static final double PROMPT_TOKENS_PER_WORK_UNIT = 1_000;

  private final RelayEnvironment environment;
  private final EndpointClient client;
  private final ServiceQueue queue;
  private final HttpExchange exchange;
  private final CallerRequest request;
  private final Route route;
  private final Optional<Customer> customer;
  private final long arrivalNanos;
  private final long deadlineNanos;
  private final boolean isTrial;
  private final BiConsumer<RelayedRequest, Boolean> onEnded;
  private final WaitingRequest waiting;
  private Phase phase = Phase.WAITING;
  private Scheduler.Task deadlineTask = Scheduler.Task.NONE;
  private int attempts;
  private Optional<Attempt> currentAttempt = Optional.empty();
  private Optional<Placement> pendingReservation = Optional.empty();
  private Optional<String> lastEventId;
  private boolean headForwarded;
  private boolean mayHaveRun;
  private boolean hasPermit;
  private boolean isCounted;
  private Optional<Attempt> failedResponse = Optional.empty();

  private enum Phase {
    /** In the queue of its service. */
    WAITING,
    /** A slot is being reserved. */
    RESERVING,
    /** Sent to an endpoint; nothing has been forwarded to the caller. */
    SENT,
    /** A part of the response has been forwarded to the caller. */
    ANSWERING,
    /** The caller has its final response or has disconnected. */
    ENDED
  }

  RelayedRequest(
      RelayEnvironment environment,
      EndpointClient client,
      ServiceQueue queue,
      HttpExchange exchange,
      CallerRequest request,
      Route route,
      Optional<Customer> customer,
      long arrivalNanos,
      long priorWaitMillis,
      boolean isTrial,
      BiConsumer<RelayedRequest, Boolean> onEnded) {
    this.environment = environment;
    this.client = client;
    this.queue = queue;
    this.exchange = exchange;
    this.request = request;
    this.route = route;
    this.customer = customer;
    this.arrivalNanos = arrivalNanos;
    this.isTrial = isTrial;
    this.onEnded = onEnded;
    this.lastEventId = request.lastEventId();
    long limitMillis =
        Math.min(route.timeoutMillis(), request.timeBudgetMillis().orElse(Long.MAX_VALUE));
    this.deadlineNanos = arrivalNanos + TimeUnit.MILLISECONDS.toNanos(limitMillis);
    this.waiting =
        new WaitingRequest(
            request.requestId(),
            route.name(),
            new Priority(customer.map(Customer::priority).orElse(0), route.priority()),
            new RequestSize(
                request.promptTokens(),
                request.promptTokens() + request.maxOutputTokens(),
                request.expectedOutputTokens()),
            request.promptPrefix(),
            arrivalNanos,
            arrivalNanos
                + TimeUnit.MILLISECONDS.toNanos(route.latencyGoalMillis() - priorWaitMillis),
            deadlineNanos,
            arrivalNanos + TimeUnit.MILLISECONDS.toNanos(route.patienceMillis()),
            route.isStream() ? route.gapGoalMillis() : 0,
            priorWaitMillis > 0,
            this);
  }

  Priority priority() {
    return waiting.priority();
  }

  boolean isCallerRetry() {
    return waiting.isCallerRetry();
  }

  void start() {
    queue.onRequest();
    environment.demand().onArrival(queue.serviceName(), isCallerRetry());
    exchange.onWritabilityChanged(
        () -> currentAttempt.ifPresent(attempt -> attempt.call.setReading(exchange.isWritable())));
    deadlineTask = environment.scheduler().schedule(this::onDeadline, remainingMillis());
    exchange.onClose(this::onCallerDisconnected);
    if (phase == Phase.WAITING) {
      queue.submit(waiting);
    }
  }

  @Override
  public void onPlaced(Placement placement) {
    if (placement.needsPermit()) {
      phase = Phase.RESERVING;
      pendingReservation = Optional.of(placement);
      takePermit(placement, Optional.empty());
    } else if (placement.needsReservation()) {
      reserve(placement);
    } else {
      send(placement, Optional.empty());
    }
  }

  @Override
  public void onRefused(ErrorKind reason, String detail, long retryAfterMillis) {
    if (failedResponse.isPresent() && !headForwarded) {
      // No endpoint is available for a retry, so the error response of the first one is final.
      respond(failedResponse.get());
    } else if (mayHaveRun) {
      fail(new RequestException(ErrorKind.ENDPOINT_FAILED, detail));
    } else {
      fail(new RequestException(reason, detail, retryAfterMillis));
    }
  }

  /** Sends the request if the endpoint's rate limit permits it now, else queues it again. */
  private void takePermit(Placement placement, Optional<String> reservationId) {
    Completions.onComplete(
        environment.limits().take(placement.endpoint(), waiting.priority()),
        (permit, failure) -> {
          boolean isCurrent =
              phase == Phase.RESERVING && pendingReservation.equals(Optional.of(placement));
          pendingReservation = isCurrent ? Optional.empty() : pendingReservation;
          if (!permit.isGranted()) {
            LOG.infof(
                "request.held_back id=%s endpoint=%s reason=%s limitPerSecond=%s"
                    + " sharePerSecond=%.3f waitMillis=%d coordinator=%s",
                request.requestId(),
                placement.endpoint().id(),
                permit.reason().label(),
                permit.limitPerSecond(),
                permit.sharePerSecond(),
                permit.waitMillis(),
                permit.coordinatorId());
            queue.onHeldBack(placement, permit.waitMillis());
            onReservationFailed(placement, isCurrent, AttemptOutcome.HELD_BACK);
          } else if (!isCurrent || !queue.acceptsRequests(placement.endpoint())) {
            environment.limits().onEnded(placement.endpoint(), /* wasRejected= */ false);
            onReservationFailed(placement, isCurrent, AttemptOutcome.CANCELLED);
          } else {
            hasPermit = true;
            send(placement, reservationId);
          }
        });
  }

  /** Counts the request for the usage report, once. */
  private void countRun(long beganNanos) {
    if (!isCounted) {
      isCounted = true;
      customer.ifPresent(payer -> environment.usage().onRunBegan(payer.name(), beganNanos));
    }
  }

  /** Gives the permit of the current attempt back, if it has one. */
  private void returnPermit(Placement placement, boolean wasRejected) {
    if (hasPermit) {
      hasPermit = false;
      environment.limits().onEnded(placement.endpoint(), wasRejected);
    }
  }

  private void reserve(Placement placement) {
    phase = Phase.RESERVING;
    pendingReservation = Optional.of(placement);
    reserve(placement, HttpConnector.Reuse.ANY);
  }

  private void reserve(Placement placement, HttpConnector.Reuse reuse) {
    long startNanos = environment.clock().nanoTime();
    EndpointProtocol protocol = environment.endpoints();
    Completions.onComplete(
        call(
            placement,
            protocol.reserve(waiting.size().memoryTokens(), placement.reservationMillis()),
            reuse),
        (reply, failure) -> {
          long millis = TimeUnit.NANOSECONDS.toMillis(environment.clock().nanoTime() - startNanos);
          boolean mayBeStaleConnection =
              reuse == HttpConnector.Reuse.ANY
                  && !placement.isForwarded()
                  && millis < RESERVE_TIMEOUT_MILLIS / 2;
          if (failure != null && mayBeStaleConnection) {
            // The endpoint may have closed an idle connection; a new one shows whether it is alive.
            reserve(placement, HttpConnector.Reuse.NONE);
            return;
          }
          if (failure != null) {
            onReservationLost(placement, failure);
            return;
          }
          environment.partQuarantine().onResponse(placement.endpoint());
          queue.onAvailability(
              placement.endpoint(), protocol.decodeAvailability(reply.status(), reply.headers()));
          onReservation(placement, protocol.decodeReservation(reply));
        });
  }

  private void onReservationLost(Placement placement, Throwable failure) {
    boolean isCurrent =
        phase == Phase.RESERVING && pendingReservation.equals(Optional.of(placement));
    pendingReservation = isCurrent ? Optional.empty() : pendingReservation;
    AttemptOutcome outcome = lostOutcome(failure);
    LOG.infof(
        "reservation.failed id=%s endpoint=%s forwarded=%s outcome=%s reason=\"%s\"",
        request.requestId(),
        placement.endpoint().id(),
        placement.isForwarded(),
        outcome,
        failure.getMessage());
    onReservationFailed(placement, isCurrent, outcome);
  }

  /** Returns what a call without an answer says about the endpoint. */
  private static AttemptOutcome lostOutcome(Throwable failure) {
    if (forwardFailure(failure).map(ForwardFailure.Kind::isOfPeer).orElse(false)) {
      return AttemptOutcome.NOT_FORWARDED;
    }
    boolean wasSent = !(failure instanceof HttpFailure known) || known.mayHaveReachedServer();
    return wasSent ? AttemptOutcome.SILENT : AttemptOutcome.UNREACHABLE;
  }

  private static Optional<ForwardFailure.Kind> forwardFailure(Throwable failure) {
    for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
      if (cause instanceof ForwardFailure known) {
        return Optional.of(known.kind());
      }
    }
    return Optional.empty();
  }

  private void onReservation(Placement placement, Reservation reservation) {
    boolean isCurrent =
        phase == Phase.RESERVING && pendingReservation.equals(Optional.of(placement));
    boolean isGranted = reservation.kind() == Reservation.Kind.GRANTED;
    if (isCurrent && isGranted && queue.isLimited(placement.endpoint())) {
      // The endpoint named a limit after the request was placed.
      takePermit(placement, Optional.of(reservation.id()));
      return;
    }
    pendingReservation = isCurrent ? Optional.empty() : pendingReservation;
    switch (reservation.kind()) {
      case GRANTED -> {
        if (!queue.acceptsRequests(placement.endpoint())) {
          onReservationFailed(placement, isCurrent, AttemptOutcome.FULL_AND_CLOSING);
          return;
        }
        if (isCurrent) {
          send(placement, Optional.of(reservation.id()));
          return;
        }
        release(placement, reservation.id());
        queue.onAttemptEnded(placement, true, AttemptOutcome.CANCELLED);
      }
      case FULL, FULL_AND_CLOSING -> {
        environment.metrics().reservationsRefused.inc();
        boolean isClosing = reservation.kind() == Reservation.Kind.FULL_AND_CLOSING;
        onReservationFailed(
            placement,
            isCurrent,
            isClosing ? AttemptOutcome.FULL_AND_CLOSING : AttemptOutcome.FULL);
      }
      case UNSUPPORTED -> {
        if (isCurrent) {
          send(placement, Optional.empty());
          return;
        }
        queue.onAttemptEnded(placement, true, AttemptOutcome.CANCELLED);
      }
      default -> throw new IllegalStateException("unknown reservation kind " + reservation.kind());
    }
  }

  /** Ends a reservation without a slot; the request is queued again if it still needs one. */
  private void onReservationFailed(Placement placement, boolean isCurrent, AttemptOutcome outcome) {
    if (isCurrent) {
      phase = Phase.WAITING;
    }
    queue.onAttemptEnded(placement, true, outcome);
    if (isCurrent) {
      queue.submit(waiting);
    }
  }

  private CompletableFuture<HttpReply> call(
      Placement placement, EndpointProtocol.ControlRequest call, HttpConnector.Reuse reuse) {
    return client.exchange(
        placement.endpoint(),
        path(placement, /* requestId= */ "", RESERVE_TIMEOUT_MILLIS),
        call,
        reuse,
        MAX_RESERVATION_RESPONSE_BYTES);
  }

  private EndpointClient.Path path(Placement placement, String requestId, long timeoutMillis) {
    return new EndpointClient.Path(
        requestId,
        placement.isForwarded(),
        // Failure domains of one region are not told apart from others.
        /* isBoundToDomain= */ !route.allowedRegions().isEmpty(),
        timeoutMillis);
  }

  private void release(Placement placement, String reservationId) {
    if (!queue.acceptsRequests(placement.endpoint()) || queue.isLimited(placement.endpoint())) {
      // The reservation expires at its TTL.
      return;
    }
    Completions.onComplete(
        call(placement, environment.endpoints().release(reservationId), HttpConnector.Reuse.FRESH),
        (reply, failure) -> {
          if (failure == null) {
            queue.onAvailability(
                placement.endpoint(),
                environment.endpoints().decodeAvailability(reply.status(), reply.headers()));
          } else {
            // The reservation expires at its TTL.
            LOG.infof(
                "reservation.release_failed id=%s endpoint=%s reason=\"%s\"",
                request.requestId(), placement.endpoint().id(), failure.getMessage());
          }
        });
  }

  private void send(Placement placement, Optional<String> reservationId) {
    long remainingMillis = remainingMillis();
    if (remainingMillis < MIN_ATTEMPT_MILLIS) {
      phase = Phase.WAITING;
      returnPermit(placement, /* wasRejected= */ false);
      reservationId.ifPresent(id -> release(placement, id));
      queue.onAttemptEnded(placement, placement.needsGrant(), AttemptOutcome.CANCELLED);
      return;
    }
    Optional<RequestException> quarantined = quarantined();
    if (quarantined.isPresent()) {
      returnPermit(placement, /* wasRejected= */ false);
      reservationId.ifPresent(id -> release(placement, id));
      queue.onAttemptEnded(placement, placement.needsGrant(), AttemptOutcome.CANCELLED);
      RequestException reason = quarantined.get();
      onRefused(reason.kind(), reason.getMessage(), reason.retryAfterMillis());
      return;
    }
    phase = headForwarded ? Phase.ANSWERING : Phase.SENT;
    attempts++;
    queue.onSent(placement);
    environment.demand().onSent(queue.serviceName());
    environment.metrics().sent.inc();
    environment.metrics().waitedMillis.update(elapsedMillis());
    LOG.infof(
        "request.sent id=%s endpoint=%s domain=%s attempt=%d reserved=%s forwarded=%s"
            + " waitedMillis=%d leftMillis=%d after=%s",
        request.requestId(),
        placement.endpoint().id(),
        placement.endpoint().failureDomain(),
        attempts,
        reservationId.isPresent(),
        placement.isForwarded(),
        elapsedMillis(),
        remainingMillis,
        lastEventId.orElse("-"));
    Attempt attempt = new Attempt(placement);
    currentAttempt = Optional.of(attempt);
    attempt.start(
        environment
            .endpoints()
            .requestHeaders(
                new EndpointProtocol.Dispatch(
                    request,
                    placement.endpoint(),
                    customer.map(Customer::name),
                    remainingMillis,
                    reservationId,
                    lastEventId)));
  }

  /** Returns why the request must not be sent: its content or parts of it crash endpoints. */
  private Optional<RequestException> quarantined() {
    Optional<RequestException> byContent =
        Relay.quarantinedContent(environment.quarantine(), request, customer);
    boolean isFirstOfTrial = isTrial && attempts == 0;
    if (byContent.isPresent() || isFirstOfTrial) {
      return byContent;
    }
    return environment.partQuarantine().refusal(request.sharedPartIds()).map(Relay::quarantined);
  }

  /** Returns whether another attempt can go on where the part that was forwarded ends. */
  private boolean canContinueElsewhere() {
    return route.isStream() || !headForwarded;
  }

  /** Retries at another endpoint if limits and budget allow it, else responds with the failure. */
  private void retryOrFail(Attempt failed, boolean wasNotRun, ErrorKind kind, String detail) {
    waiting.exclude(failed.placement.endpoint().id());
    boolean willRetry =
        (wasNotRun || route.isRetryable())
            && canContinueElsewhere()
            && attempts < route.maxAttempts()
            && queue.endpointCount() > 1
            && remainingMillis() > MIN_ATTEMPT_MILLIS
            && queue.tryAcquireRetry();
    handleFailure(failed, wasNotRun, kind, detail, willRetry);
  }

  private void handleFailure(
      Attempt failed, boolean wasNotRun, ErrorKind kind, String detail, boolean willRetry) {
    mayHaveRun |= !wasNotRun;
    LOG.infof(
        "attempt.failed id=%s endpoint=%s kind=%s notRun=%s detail=\"%s\" repeats=%s events=%d"
            + " elapsedMillis=%d connection=%s content=%s parts=%s",
        request.requestId(),
        failed.placement.endpoint().id(),
        kind,
        wasNotRun,
        detail,
        willRetry,
        failed.events,
        elapsedMillis(),
        failed.call.connectionLabel(),
        request.contentHash(customer),
        String.join("/", request.promptPartIds()));
    if (willRetry) {
      environment.metrics().retried.inc();
      if (headForwarded) {
        environment.metrics().resumed.inc();
        waiting.markContinuation();
      }
      waiting.markSent();
      phase = Phase.WAITING;
      queue.submit(waiting);
    } else if (failedResponse.isPresent() && !headForwarded) {
      respond(failedResponse.get());
    } else {
      // The last endpoint did not run the request, but an earlier one may have.
      boolean isNotRun = wasNotRun && !mayHaveRun;
      fail(
          new RequestException(
              wasNotRun && mayHaveRun ? ErrorKind.ENDPOINT_FAILED : kind,
              detail,
              isNotRun
                  ? Math.max(
                      NOT_RUN_RETRY_AFTER_MILLIS, queue.noneAcceptsMillis(waiting.priority()))
                  : 0));
    }
  }

  private void fail(RequestException failure) {
    if (phase == Phase.ENDED) {
      return;
    }
    environment.metrics().failed(failure.kind()).inc();
    environment.demand().onFailed(queue.serviceName(), failure.kind());
    LOG.infof(
        "request.failed id=%s kind=%s detail=\"%s\" attempts=%d answered=%s retryAfterMillis=%d"
            + " elapsedMillis=%d",
        request.requestId(),
        failure.kind(),
        failure.getMessage(),
        attempts,
        headForwarded,
        failure.retryAfterMillis(),
        elapsedMillis());
    end();
    if (headForwarded) {
      environment.metrics().truncated.inc();
      exchange.abort();
    } else {
      environment.callers().errorResponse(request.requestId(), failure).sendTo(exchange);
    }
  }

  private void respond(Attempt completed) {
    LOG.infof(
        "request.ended id=%s endpoint=%s status=%d attempts=%d events=%d elapsedMillis=%d"
            + " connection=%s",
        request.requestId(),
        completed.placement.endpoint().id(),
        completed.head.status(),
        attempts,
        completed.events,
        elapsedMillis(),
        completed.call.connectionLabel());
    environment.metrics().served.inc();
    environment.metrics().totalMillis.update(elapsedMillis());
    end();
    if (headForwarded) {
      exchange.write(completed.bodyBuffer.toByteArray());
      exchange.end();
    } else {
      exchange.respond(
          completed.head.status(),
          completed.head.forwardedHeaders(),
          completed.bodyBuffer.toByteArray());
    }
  }

  private void end() {
    phase = Phase.ENDED;
    deadlineTask.cancel();
    queue.remove(waiting);
    environment.demand().onEnded(queue.serviceName());
    onEnded.accept(this, attempts > 0);
  }

  private void onDeadline() {
    if (phase == Phase.ENDED) {
      return;
    }
    Optional<Attempt> ongoing = currentAttempt;
    fail(
        mayHaveRun || ongoing.isPresent()
            ? new RequestException(ErrorKind.DEADLINE_EXCEEDED, "the answer did not end in time")
            : new RequestException(
                ErrorKind.DEADLINE_UNREACHABLE, "no endpoint had a free slot in time"));
    ongoing.ifPresent(attempt -> attempt.cancel(AttemptOutcome.CANCELLED));
  }

  /** Gives the caller its final answer, because the instance is about to end. */
  void endBeforeShutdown() {
    if (phase == Phase.ENDED) {
      return;
    }
    Optional<Attempt> ongoing = currentAttempt;
    fail(
        mayHaveRun || ongoing.isPresent()
            ? new RequestException(
                ErrorKind.DEADLINE_EXCEEDED, "the instance ends before the answer does")
            : new RequestException(
                ErrorKind.SHUTTING_DOWN,
                "the instance is about to end",
                Relay.SHUTDOWN_RETRY_AFTER_MILLIS));
    ongoing.ifPresent(attempt -> attempt.cancel(AttemptOutcome.CANCELLED));
  }

  private void onCallerDisconnected() {
    if (phase == Phase.ENDED) {
      return;
    }
    environment.metrics().callersDisconnected.inc();
    LOG.infof(
        "request.abandoned id=%s phase=%s attempts=%d elapsedMillis=%d",
        request.requestId(), phase, attempts, elapsedMillis());
    Optional<Attempt> ongoing = currentAttempt;
    end();
    boolean isCancellable = route.isStream() || route.isRetryable();
    if (isCancellable) {
      ongoing.ifPresent(attempt -> attempt.cancel(AttemptOutcome.CANCELLED));
    }
  }

  private long remainingMillis() {
    return TimeUnit.NANOSECONDS.toMillis(deadlineNanos - environment.clock().nanoTime());
  }

  private long elapsedMillis() {
    return TimeUnit.NANOSECONDS.toMillis(environment.clock().nanoTime() - arrivalNanos);
  }

  /** One attempt of the request at one endpoint. */
  private final class Attempt implements HttpResponseListener {
    private final Placement placement;
    private final long sentNanos = environment.clock().nanoTime();
    private final EventSplitter splitter = new EventSplitter();
    private final ByteArrayOutputStream bodyBuffer = new ByteArrayOutputStream(256);
    private HttpCall call = HttpCall.NONE;
    private ResponseHead head;
    private Scheduler.Task stallTask = Scheduler.Task.NONE;
    private long lastProgressNanos = sentNanos;
    private long headNanos;
    private long firstEventNanos;
    private long longestGapNanos;
    private int events;
    private boolean isFramed;
    private boolean isForwarding;
    private boolean isSurvivalReported;
    private boolean hasEnded;

    private Attempt(Placement placement) {
      this.placement = placement;
    }

    private void start(HttpHeaders headers) {
      call =
          client.send(
              placement.endpoint(),
              path(placement, request.requestId(), remainingMillis()),
              request.method(),
              request.uri(),
              headers,
              request.body(),
              route.isRetryable() ? HttpConnector.Reuse.ANY : HttpConnector.Reuse.FRESH,
              this);
      if (route.isRetryable() && !hasEnded) {
        scheduleStallCheck(firstEventTimeoutMillis());
      }
    }

    private long firstEventTimeoutMillis() {
      double expectedMillis = queue.fastestFirstEventMillis(waiting.size().promptTokens());
      double goalMillis =
          route.isStream() ? route.latencyGoalMillis() : 2.0 * route.latencyGoalMillis();
      return (long)
          Math.max(
              MIN_FIRST_EVENT_TIMEOUT_MILLIS,
              Math.max(FIRST_EVENT_TIMEOUT_FACTOR * expectedMillis, goalMillis));
    }

    private long eventGapTimeoutMillis() {
      return (long)
          Math.max(MIN_EVENT_GAP_TIMEOUT_MILLIS, EVENT_GAP_TIMEOUT_FACTOR * route.gapGoalMillis());
    }

    private void scheduleStallCheck(long delayMillis) {
      stallTask = environment.scheduler().schedule(() -> checkForStall(), Math.max(1, delayMillis));
    }

    private void checkForStall() {
      if (hasEnded || phase == Phase.ENDED) {
        return;
      }
      long limitMillis = events == 0 ? firstEventTimeoutMillis() : eventGapTimeoutMillis();
      long idleMillis =
          TimeUnit.NANOSECONDS.toMillis(environment.clock().nanoTime() - lastProgressNanos);
      if (idleMillis < limitMillis || !exchange.isWritable()) {
        scheduleStallCheck(Math.max(limitMillis - idleMillis, MIN_ATTEMPT_MILLIS));
        return;
      }
      if (attempts >= route.maxAttempts()
          || !canContinueElsewhere()
          || queue.endpointCount() < 2
          || !queue.tryAcquireRetry()) {
        // The endpoint may still recover, and the budget may permit a retry later.
        scheduleStallCheck(limitMillis);
        return;
      }
      waiting.exclude(placement.endpoint().id());
      cancel(AttemptOutcome.TIMED_OUT);
      handleFailure(
          this,
          false,
          ErrorKind.ENDPOINT_FAILED,
          "silent for " + idleMillis + " ms",
          /* willRetry= */ true);
    }

    /** Cancels the attempt and closes its connection to the endpoint. */
    private void cancel(AttemptOutcome outcome) {
      if (hasEnded) {
        return;
      }
      close(outcome);
      call.cancel();
    }

    private void close(AttemptOutcome outcome) {
      hasEnded = true;
      stallTask.cancel();
      if (currentAttempt.equals(Optional.of(this))) {
        currentAttempt = Optional.empty();
      }
      returnPermit(
          placement, outcome == AttemptOutcome.FULL || outcome == AttemptOutcome.FULL_AND_CLOSING);
      queue.onAttemptEnded(placement, false, outcome, timing(outcome));
      environment.demand().onAttemptEnded(queue.serviceName(), sentNanos, outcome);
      reportToCanaryTrial(outcome);
    }

    /** Returns the times of the answer, or of the part of a stream that has arrived. */
    private Optional<EndedRun.Timing> timing(AttemptOutcome outcome) {
      if (events > 0) {
        return Optional.of(
            new EndedRun.Timing(
                (firstEventNanos - sentNanos) / 1e6,
                events,
                (lastProgressNanos - firstEventNanos) / 1e6,
                longestGapNanos / 1e6));
      }
      return outcome == AttemptOutcome.COMPLETED
          ? Optional.of(
              new EndedRun.Timing((environment.clock().nanoTime() - sentNanos) / 1e6, 0, 0, 0))
          : Optional.empty();
    }

    /** Reports the outcome to the canary trial of the version, unless the request did not run. */
    private void reportToCanaryTrial(AttemptOutcome outcome) {
      Optional<CanaryTrial.Ending> ending =
          switch (outcome) {
            case COMPLETED -> Optional.of(CanaryTrial.Ending.ANSWERED);
            case FAILED, BROKEN -> Optional.of(CanaryTrial.Ending.FAILED);
            case TIMED_OUT, CANCELLED -> Optional.of(CanaryTrial.Ending.CUT_SHORT);
            case FULL,
                FULL_AND_CLOSING,
                MISDIRECTED,
                UNREACHABLE,
                SILENT,
                HELD_BACK,
                NOT_FORWARDED ->
                Optional.empty();
          };
      double millis = (environment.clock().nanoTime() - sentNanos) / 1e6;
      double workUnits = 1 + events + waiting.size().promptTokens() / PROMPT_TOKENS_PER_WORK_UNIT;
      ending.ifPresent(
          trialEnding ->
              environment
                  .rollouts()
                  .onAttemptEnded(
                      placement.endpoint(), route.name(), trialEnding, millis, workUnits));
    }

    @Override
    public String requestId() {
      return request.requestId();
    }

    @Override
    public boolean matchesRequest(int status, HttpHeaders headers) {
      boolean isMatch = environment.endpoints().isResponseTo(request.requestId(), headers);
      if (!isMatch) {
        LOG.infof(
            "answer.skipped id=%s endpoint=%s status=%d connection=%s"
                + " reason=\"response to another request\"",
            request.requestId(), placement.endpoint().id(), status, call.connectionLabel());
      }
      return isMatch;
    }

    @Override
    public void onHead(int status, HttpHeaders headers) {
      head = environment.endpoints().decodeResponseHead(status, headers);
      headNanos = environment.clock().nanoTime();
      isFramed = HttpConnector.statesLength(headers);
      if (!head.isMisdirected()) {
        environment.partQuarantine().onResponse(placement.endpoint());
        queue.onAvailability(
            placement.endpoint(), environment.endpoints().decodeAvailability(status, headers));
      }
      lastProgressNanos = environment.clock().nanoTime();
    }

    private boolean isEventStream() {
      return route.isStream() && head.isSuccess() && head.isSigned();
    }

    @Override
    public void onBody(byte[] part) {
      if (hasEnded) {
        return;
      }
      if (isEventStream()) {
        splitter.accept(part, this::onEvent);
        if (splitter.partialEventBytes() > EventSplitter.MAX_EVENT_BYTES) {
          cancel(AttemptOutcome.BROKEN);
          retryOrFail(this, false, ErrorKind.TRUNCATED_ANSWER, "an event has no end");
        }
        return;
      }
      bodyBuffer.writeBytes(part);
      if (bodyBuffer.size() > MAX_BUFFERED_BYTES && phase != Phase.ENDED) {
        forwardBuffered();
      }
    }

    private void forwardBuffered() {
      boolean isOfOtherAttempt = headForwarded && !isForwarding;
      if (isOfOtherAttempt || !(head.isSigned() && head.isSuccess())) {
        cancel(AttemptOutcome.BROKEN);
        retryOrFail(this, false, ErrorKind.TRUNCATED_ANSWER, "a failure with a large body");
        return;
      }
      forwardHead();
      exchange.write(bodyBuffer.toByteArray());
      bodyBuffer.reset();
      call.setReading(exchange.isWritable());
    }

    private void forwardHead() {
      if (!headForwarded) {
        headForwarded = true;
        isForwarding = true;
        phase = Phase.ANSWERING;
        exchange.start(head.status(), head.forwardedHeaders());
      }
    }

    private void onEvent(byte[] event) {
      if (phase == Phase.ENDED) {
        return;
      }
      if (EventSplitter.isCommentOnly(event)) {
        // A comment keeps the connection open but is no progress, so the stall timer goes on.
        forwardHead();
        exchange.write(event);
        return;
      }
      long nowNanos = environment.clock().nanoTime();
      longestGapNanos = events == 0 ? 0 : Math.max(longestGapNanos, nowNanos - lastProgressNanos);
      lastProgressNanos = nowNanos;
      events++;
      if (!isSurvivalReported && hasSurvived()) {
        reportPartsAnswered();
      }
      Optional<String> id = EventId.of(event);
      boolean isDuplicate =
          id.isPresent()
              && lastEventId.isPresent()
              && !EventId.isAfter(id.get(), lastEventId.get());
      if (isDuplicate) {
        return;
      }
      if (events == 1) {
        onFirstEvent();
      }
      forwardHead();
      lastEventId = id.or(() -> lastEventId);
      exchange.write(event);
      if (!exchange.isWritable()) {
        call.setReading(false);
      }
    }

    private void onFirstEvent() {
      firstEventNanos = environment.clock().nanoTime();
      double millis = (firstEventNanos - sentNanos) / 1e6;
      queue.onFirstEvent(placement, millis);
      if (request.lastEventId().isEmpty()) {
        countRun(firstEventNanos);
      }
      environment.metrics().firstEventMillis.update(elapsedMillis());
    }

    @Override
    public void onEnd() {
      if (hasEnded) {
        return;
      }
      if (isEventStream()) {
        onStreamEnd();
      } else {
        onCompleteResponse();
      }
    }

    private void onStreamEnd() {
      if (splitter.hasPartialEvent() || events == 0) {
        close(AttemptOutcome.BROKEN);
        if (!isFramed) {
          reportCrash();
        }
        retryOrFail(this, false, ErrorKind.TRUNCATED_ANSWER, "the stream ended within an event");
        return;
      }
      queue.onStreamEnd(placement, events, (lastProgressNanos - firstEventNanos) / 1e6);
      close(AttemptOutcome.COMPLETED);
      reportContentServed();
      if (phase != Phase.ENDED) {
        respond(this);
      }
    }

    private void onCompleteResponse() {
      ResponseKind responseKind = ResponseKind.of(head);
      close(responseKind.outcome());
      if (responseKind == ResponseKind.SERVED) {
        countRun(headNanos);
        reportContentServed();
      }
      if (phase == Phase.ENDED) {
        return;
      }
      switch (responseKind) {
        case SERVED -> {
          queue.onFirstEvent(placement, (environment.clock().nanoTime() - sentNanos) / 1e6);
          respond(this);
        }
        case NOT_RUN ->
            retryOrFail(
                this,
                true,
                ErrorKind.ENDPOINT_REFUSED,
                "the endpoint answered " + head.status() + " without running the request");
        case MISDIRECTED -> {
          // The request did not reach its endpoint, so it does not count as an attempt.
          attempts--;
          retryOrFail(
              this, true, ErrorKind.ENDPOINT_REFUSED, "another process has the endpoint's address");
        }
        case FAILED -> {
          if (headForwarded) {
            retryOrFail(this, false, ErrorKind.ENDPOINT_FAILED, "the stream was not resumed");
            return;
          }
          failedResponse = Optional.of(this);
          retryOrFail(
              this, false, ErrorKind.ENDPOINT_FAILED, "the endpoint answered " + head.status());
        }
        case UNUSABLE ->
            retryOrFail(
                this,
                false,
                ErrorKind.TRUNCATED_ANSWER,
                "the endpoint answered " + head.status() + " without a signature");
        default -> throw new IllegalStateException("unknown response kind " + responseKind);
      }
    }

    private boolean hasSurvived() {
      return events > 1
          && environment.clock().nanoTime() - firstEventNanos
              >= TimeUnit.MILLISECONDS.toNanos(SURVIVAL_MILLIS);
    }

    private void reportPartsAnswered() {
      isSurvivalReported = true;
      environment.partQuarantine().onAnswered(request.sharedPartIds(), sinceMillis(beginNanos()));
    }

    private long beginNanos() {
      return events > 0 ? firstEventNanos : headNanos;
    }

    private long sinceMillis(long nanos) {
      return TimeUnit.NANOSECONDS.toMillis(environment.clock().nanoTime() - nanos);
    }

    /**
     * Reports that the connection broke under this request, so that it may have crashed the
     * endpoint.
     */
    private void reportCrash() {
      String contentHash = request.contentHash(customer);
      environment.quarantine().onCrash(contentHash, placement.endpoint(), sinceMillis(sentNanos));
      if (!hasSurvived()) {
        environment
            .partQuarantine()
            .onBroken(
                placement.endpoint(), contentHash, request.sharedPartIds(), sinceMillis(sentNanos));
      }
    }

    private void reportContentServed() {
      if (isFramed) {
        reportPartsAnswered();
      } else {
        // The end of the connection may be a crash.
        environment
            .partQuarantine()
            .onAnsweredUnlessCrashed(
                placement.endpoint(), request.sharedPartIds(), sinceMillis(beginNanos()));
      }
      if (!environment.quarantine().isEmpty()) {
        environment.quarantine().onServed(request.contentHash(customer));
      }
    }

    @Override
    public void onFailure(Throwable cause, boolean mayHaveReachedServer) {
      if (hasEnded) {
        return;
      }
      boolean isOfPeer = forwardFailure(cause).map(ForwardFailure.Kind::isOfPeer).orElse(false);
      AttemptOutcome lost =
          mayHaveReachedServer ? AttemptOutcome.BROKEN : AttemptOutcome.UNREACHABLE;
      close(isOfPeer ? AttemptOutcome.NOT_FORWARDED : lost);
      if (mayHaveReachedServer && !isOfPeer) {
        reportCrash();
      }
      if (phase == Phase.ENDED) {
        return;
      }
      if (!mayHaveReachedServer) {
        // Nothing reached the endpoint, so it does not count as an attempt.
        attempts--;
        phase = Phase.WAITING;
        LOG.infof(
            "attempt.unreachable id=%s endpoint=%s reason=\"%s\"",
            request.requestId(), placement.endpoint().id(), cause);
        queue.submit(waiting);
        return;
      }
      retryOrFail(this, false, ErrorKind.ENDPOINT_FAILED, String.valueOf(cause));
    }
  }
}
