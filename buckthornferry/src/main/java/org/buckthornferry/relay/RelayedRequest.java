package org.buckthornferry.relay;

import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.buckthornferry.catalog.Customer;
import org.buckthornferry.catalog.Route;
import org.buckthornferry.dispatch.AttemptOutcome;
import org.buckthornferry.dispatch.Placement;
import org.buckthornferry.dispatch.Priority;
import org.buckthornferry.dispatch.RequestSize;
import org.buckthornferry.dispatch.WaitingRequest;
import org.buckthornferry.endpoint.Verdict;
import org.buckthornferry.error.ErrorKind;
import org.buckthornferry.error.RequestException;
import org.buckthornferry.fleet.ContentQuarantine;
import org.buckthornferry.http.HttpCall;
import org.buckthornferry.http.HttpConnector;
import org.buckthornferry.http.HttpExchange;
import org.buckthornferry.http.HttpReply;
import org.buckthornferry.http.HttpResponseListener;
import org.buckthornferry.relay.EndpointProtocol.AnswerHead;
import org.buckthornferry.relay.EndpointProtocol.Reservation;
import org.buckthornferry.rollout.CanaryTrial;
import org.buckthornferry.util.Completions;
import org.buckthornferry.util.Scheduler;
import org.jboss.logging.Logger;

/** One request from its admission to the end of its answer, over all its attempts. */
final class RelayedRequest implements WaitingRequest.Listener {
  private static final Logger LOG = Logger.getLogger(RelayedRequest.class);

  /** How long an endpoint may take to answer a reservation, in milliseconds; it needs no slot. */
  private static final long RESERVE_TIMEOUT_MILLIS = 300;

  /** The largest answer to a reservation, in bytes; it holds an id. */
  private static final int MAX_RESERVATION_BYTES = 64 << 10;

  /** Less time than this is not worth an attempt, in milliseconds. */
  private static final long MIN_ATTEMPT_MILLIS = 15;

  /** When a caller comes back whose request an endpoint has not run, in milliseconds. */
  private static final long NOT_RUN_RETRY_MILLIS = 150;

  /** Larger answers of plain services are passed on in parts, in bytes. */
  private static final int MAX_COLLECTED_BYTES = 1 << 20;

  /** The first event is overdue after this many times its expected time. */
  private static final double OVERDUE_FACTOR = 4;

  /** An event is overdue after this many times the pause that callers want. */
  private static final double OVERDUE_GAPS = 2.5;

  /** Nothing is overdue before this time, in milliseconds; covers pauses of a busy engine. */
  private static final long MIN_OVERDUE_MILLIS = 400;

  /** The shortest pause in a stream that is overdue, in milliseconds; covers a preempted run. */
  private static final long MIN_OVERDUE_GAP_MILLIS = 1_000;

  /** Reading so many tokens of a prompt takes an engine about as long as making one event. */
  private static final double TOKENS_PER_UNIT = 1_000;

  private final RelayEnvironment environment;
  private final ServiceQueue queue;
  private final HttpExchange exchange;
  private final CallerRequest request;
  private final Route route;
  private final Optional<Customer> customer;
  private final long arrivalNanos;
  private final long deadlineNanos;
  private final Consumer<Boolean> onEnded;
  private final WaitingRequest waiting;
  private Phase phase = Phase.WAITING;
  private Scheduler.Task deadlineTask = Scheduler.Task.NONE;
  private int attempts;
  private Optional<Attempt> current = Optional.empty();
  private Optional<Placement> reserving = Optional.empty();
  private Optional<String> lastEventId;
  private boolean headForwarded;
  private boolean mayHaveRun;
  private Optional<Attempt> failedAnswer = Optional.empty();

  private enum Phase {
    /** In the line of its service. */
    WAITING,
    /** A slot is being reserved. */
    RESERVING,
    /** At an endpoint; nothing has been returned to the caller. */
    SENT,
    /** A part of the answer has been returned to the caller. */
    ANSWERING,
    /** The caller has its final answer or has left. */
    ENDED
  }

  RelayedRequest(
      RelayEnvironment environment,
      ServiceQueue queue,
      HttpExchange exchange,
      CallerRequest request,
      Route route,
      Optional<Customer> customer,
      long arrivalNanos,
      long waitedMillis,
      Consumer<Boolean> onEnded) {
    this.environment = environment;
    this.queue = queue;
    this.exchange = exchange;
    this.request = request;
    this.route = route;
    this.customer = customer;
    this.arrivalNanos = arrivalNanos;
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
                request.promptTokens() + request.outputTokens(),
                request.expectedOutputTokens()),
            request.sharedPrompt(),
            arrivalNanos,
            arrivalNanos + TimeUnit.MILLISECONDS.toNanos(route.latencyGoalMillis() - waitedMillis),
            deadlineNanos,
            waitedMillis > 0,
            this);
  }

  Priority rank() {
    return waiting.priority();
  }

  boolean hasReturned() {
    return waiting.isCallerRetry();
  }

  void start() {
    queue.onRequest();
    exchange.onWritabilityChanged(
        () -> current.ifPresent(attempt -> attempt.call.setReading(exchange.isWritable())));
    deadlineTask = environment.scheduler().schedule(this::onDeadline, leftMillis());
    exchange.onClose(this::onCallerLeft);
    if (phase == Phase.WAITING) {
      queue.submit(waiting);
    }
  }

  @Override
  public void onPlaced(Placement placement) {
    if (placement.needsReservation()) {
      reserve(placement);
    } else {
      send(placement, Optional.empty());
    }
  }

  @Override
  public void onRefused(ErrorKind reason, String detail, long retryAfterMillis) {
    if (failedAnswer.isPresent()) {
      // A second endpoint was not found; the first one's answer is the final one.
      respond(failedAnswer.get());
    } else if (mayHaveRun) {
      fail(new RequestException(ErrorKind.ENDPOINT_FAILED, detail));
    } else {
      fail(new RequestException(reason, detail, retryAfterMillis));
    }
  }

  private void reserve(Placement placement) {
    phase = Phase.RESERVING;
    reserving = Optional.of(placement);
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
          boolean wasStale =
              reuse == HttpConnector.Reuse.ANY && millis < RESERVE_TIMEOUT_MILLIS / 2;
          if (failure != null && wasStale) {
            // An endpoint may have closed an idle connection; a new one tells whether it lives.
            reserve(placement, HttpConnector.Reuse.NONE);
            return;
          }
          if (failure != null) {
            onReservation(placement, Optional.empty(), String.valueOf(failure.getMessage()));
            return;
          }
          queue.onNotice(placement.endpoint(), protocol.notice(reply.status(), reply.headers()));
          onReservation(placement, Optional.of(protocol.decodeReservation(reply)), "");
        });
  }

  private void onReservation(
      Placement placement, Optional<Reservation> answer, String failureText) {
    boolean isWanted = phase == Phase.RESERVING && reserving.equals(Optional.of(placement));
    reserving = isWanted ? Optional.empty() : reserving;
    if (answer.isEmpty()) {
      LOG.infof(
          "reservation.failed id=%s endpoint=%s reason=\"%s\"",
          request.requestId(), placement.endpoint().id(), failureText);
      onNotReserved(placement, isWanted, AttemptOutcome.UNREACHABLE);
      return;
    }
    Reservation reservation = answer.get();
    switch (reservation.kind()) {
      case GRANTED -> {
        if (!queue.isWelcomeAt(placement.endpoint())) {
          onNotReserved(placement, isWanted, AttemptOutcome.FULL_AND_CLOSING);
          return;
        }
        if (isWanted) {
          send(placement, Optional.of(reservation.id()));
          return;
        }
        release(placement, reservation.id());
        queue.onEnded(placement, true, AttemptOutcome.CANCELLED);
      }
      case FULL, FULL_AND_CLOSING -> {
        environment.metrics().reservationsRefused.inc();
        boolean isClosing = reservation.kind() == Reservation.Kind.FULL_AND_CLOSING;
        onNotReserved(
            placement, isWanted, isClosing ? AttemptOutcome.FULL_AND_CLOSING : AttemptOutcome.FULL);
      }
      case UNSUPPORTED -> {
        if (isWanted) {
          send(placement, Optional.empty());
          return;
        }
        queue.onEnded(placement, true, AttemptOutcome.CANCELLED);
      }
      default -> throw new IllegalStateException("unknown answer " + reservation.kind());
    }
  }

  /** No slot was reserved; a request that still wants one waits again. */
  private void onNotReserved(Placement placement, boolean isWanted, AttemptOutcome outcome) {
    if (isWanted) {
      phase = Phase.WAITING;
    }
    queue.onEnded(placement, true, outcome);
    if (isWanted) {
      queue.submit(waiting);
    }
  }

  private CompletableFuture<HttpReply> call(
      Placement placement, EndpointProtocol.Call call, HttpConnector.Reuse reuse) {
    return environment
        .connector()
        .exchange(
            placement.endpoint().address(),
            call.method(),
            call.path(),
            call.headers(),
            call.body(),
            reuse,
            environment.endpoints()::isAnswerToCall,
            MAX_RESERVATION_BYTES,
            RESERVE_TIMEOUT_MILLIS);
  }

  private void release(Placement placement, String reservationId) {
    if (!queue.isWelcomeAt(placement.endpoint())) {
      // The reservation ends by itself after its validity.
      return;
    }
    Completions.onComplete(
        call(placement, environment.endpoints().release(reservationId), HttpConnector.Reuse.FRESH),
        (reply, failure) -> {
          if (failure == null) {
            queue.onNotice(
                placement.endpoint(),
                environment.endpoints().notice(reply.status(), reply.headers()));
          } else {
            // The reservation ends by itself after its validity.
            LOG.infof(
                "reservation.release_failed id=%s endpoint=%s reason=\"%s\"",
                request.requestId(), placement.endpoint().id(), failure.getMessage());
          }
        });
  }

  private void send(Placement placement, Optional<String> reservationId) {
    long leftMillis = leftMillis();
    if (leftMillis < MIN_ATTEMPT_MILLIS) {
      phase = Phase.WAITING;
      reservationId.ifPresent(id -> release(placement, id));
      queue.onEnded(placement, placement.needsReservation(), AttemptOutcome.CANCELLED);
      return;
    }
    if (isQuarantined()) {
      reservationId.ifPresent(id -> release(placement, id));
      queue.onEnded(placement, placement.needsReservation(), AttemptOutcome.CANCELLED);
      onRefused(
          ErrorKind.QUARANTINED,
          "content " + request.contentHash(customer),
          environment.quarantine().remainingMillis(request.contentHash(customer)));
      return;
    }
    phase = headForwarded ? Phase.ANSWERING : Phase.SENT;
    attempts++;
    queue.onSent(placement);
    environment.metrics().sent.inc();
    environment.metrics().waitedMillis.update(elapsedMillis());
    LOG.infof(
        "request.sent id=%s endpoint=%s domain=%s attempt=%d reserved=%s waitedMillis=%d"
            + " leftMillis=%d after=%s",
        request.requestId(),
        placement.endpoint().id(),
        placement.endpoint().failureDomain(),
        attempts,
        reservationId.isPresent(),
        elapsedMillis(),
        leftMillis,
        lastEventId.orElse("-"));
    Attempt attempt = new Attempt(placement);
    current = Optional.of(attempt);
    attempt.start(
        environment
            .endpoints()
            .requestHeaders(
                new EndpointProtocol.Dispatch(
                    request,
                    placement.endpoint(),
                    customer.map(Customer::name),
                    leftMillis,
                    reservationId,
                    lastEventId)));
  }

  private boolean isQuarantined() {
    ContentQuarantine quarantine = environment.quarantine();
    return !quarantine.isEmpty()
        && quarantine.verdict(request.contentHash(customer)) == Verdict.QUARANTINED;
  }

  /** Sends the request to another endpoint if that is allowed, else answers with the failure. */
  private void repeatOrFail(Attempt failed, boolean wasNotRun, ErrorKind kind, String detail) {
    waiting.exclude(failed.placement.endpoint().id());
    boolean mayRepeat =
        (wasNotRun || route.isRetryable())
            && attempts < route.maxAttempts()
            && queue.endpointCount() > 1
            && leftMillis() > MIN_ATTEMPT_MILLIS
            && queue.tryRepeat();
    afterFailure(failed, wasNotRun, kind, detail, mayRepeat);
  }

  private void afterFailure(
      Attempt failed, boolean wasNotRun, ErrorKind kind, String detail, boolean mayRepeat) {
    mayHaveRun |= !wasNotRun;
    LOG.infof(
        "attempt.failed id=%s endpoint=%s kind=%s notRun=%s detail=\"%s\" repeats=%s events=%d"
            + " elapsedMillis=%d content=%s",
        request.requestId(),
        failed.placement.endpoint().id(),
        kind,
        wasNotRun,
        detail,
        mayRepeat,
        failed.events,
        elapsedMillis(),
        request.contentHash(customer));
    if (mayRepeat) {
      environment.metrics().repeated.inc();
      if (headForwarded) {
        environment.metrics().resumed.inc();
        waiting.markContinuation();
      }
      waiting.markSent();
      phase = Phase.WAITING;
      queue.submit(waiting);
    } else if (failedAnswer.isPresent()) {
      respond(failedAnswer.get());
    } else {
      // What the last endpoint says of itself does not hold for the ones before it.
      boolean isNotRun = wasNotRun && !mayHaveRun;
      fail(
          new RequestException(
              wasNotRun && mayHaveRun ? ErrorKind.ENDPOINT_FAILED : kind,
              detail,
              isNotRun ? Math.max(NOT_RUN_RETRY_MILLIS, queue.allPausedMillis()) : 0));
    }
  }

  private void fail(RequestException failure) {
    if (phase == Phase.ENDED) {
      return;
    }
    environment.metrics().failed(failure.kind()).inc();
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
      environment.metrics().cut.inc();
      exchange.abort();
    } else {
      environment.callers().refusal(request.requestId(), failure).sendTo(exchange);
    }
  }

  private void respond(Attempt answer) {
    LOG.infof(
        "request.ended id=%s endpoint=%s status=%d attempts=%d events=%d elapsedMillis=%d",
        request.requestId(),
        answer.placement.endpoint().id(),
        answer.head.status(),
        attempts,
        answer.events,
        elapsedMillis());
    environment.metrics().served.inc();
    environment.metrics().totalMillis.update(elapsedMillis());
    end();
    if (headForwarded) {
      exchange.write(answer.collected.toByteArray());
      exchange.end();
    } else {
      exchange.respond(
          answer.head.status(), answer.head.returned(), answer.collected.toByteArray());
    }
  }

  private void end() {
    phase = Phase.ENDED;
    deadlineTask.cancel();
    queue.remove(waiting);
    onEnded.accept(attempts > 0);
  }

  private void onDeadline() {
    if (phase == Phase.ENDED) {
      return;
    }
    Optional<Attempt> open = current;
    fail(
        mayHaveRun || open.isPresent()
            ? new RequestException(ErrorKind.DEADLINE_EXCEEDED, "the answer did not end in time")
            : new RequestException(
                ErrorKind.DEADLINE_UNREACHABLE, "no endpoint had a free slot in time"));
    open.ifPresent(attempt -> attempt.cancel(AttemptOutcome.CANCELLED));
  }

  private void onCallerLeft() {
    if (phase == Phase.ENDED) {
      return;
    }
    environment.metrics().callersLeft.inc();
    LOG.infof(
        "request.abandoned id=%s phase=%s attempts=%d elapsedMillis=%d",
        request.requestId(), phase, attempts, elapsedMillis());
    Optional<Attempt> open = current;
    end();
    boolean isCancellable = route.isStream() || route.isRetryable();
    if (isCancellable) {
      open.ifPresent(attempt -> attempt.cancel(AttemptOutcome.CANCELLED));
    }
  }

  private long leftMillis() {
    return TimeUnit.NANOSECONDS.toMillis(deadlineNanos - environment.clock().nanoTime());
  }

  private long elapsedMillis() {
    return TimeUnit.NANOSECONDS.toMillis(environment.clock().nanoTime() - arrivalNanos);
  }

  /** One sending of the request to one endpoint. */
  private final class Attempt implements HttpResponseListener {
    private final Placement placement;
    private final long sentNanos = environment.clock().nanoTime();
    private final EventSplitter splitter = new EventSplitter();
    private final ByteArrayOutputStream collected = new ByteArrayOutputStream(256);
    private HttpCall call;
    private AnswerHead head;
    private Scheduler.Task overdueTask = Scheduler.Task.NONE;
    private long lastProgressNanos = sentNanos;
    private long firstEventNanos;
    private int events;
    private boolean isOver;

    private Attempt(Placement placement) {
      this.placement = placement;
    }

    private void start(HttpHeaders headers) {
      call =
          environment
              .connector()
              .send(
                  placement.endpoint().address(),
                  request.method(),
                  request.uri(),
                  headers,
                  request.body(),
                  route.isRetryable() ? HttpConnector.Reuse.ANY : HttpConnector.Reuse.FRESH,
                  this);
      if (route.isRetryable() && !isOver) {
        watchForSilence(firstOverdueMillis());
      }
    }

    private long firstOverdueMillis() {
      double expected = queue.bestFirstMillis(waiting.size().promptTokens());
      double wanted =
          route.isStream() ? route.latencyGoalMillis() : 2.0 * route.latencyGoalMillis();
      return (long) Math.max(MIN_OVERDUE_MILLIS, Math.max(OVERDUE_FACTOR * expected, wanted));
    }

    private long gapOverdueMillis() {
      return (long) Math.max(MIN_OVERDUE_GAP_MILLIS, OVERDUE_GAPS * route.gapGoalMillis());
    }

    private void watchForSilence(long delayMillis) {
      overdueTask =
          environment.scheduler().schedule(() -> onSilenceCheck(), Math.max(1, delayMillis));
    }

    private void onSilenceCheck() {
      if (isOver || phase == Phase.ENDED) {
        return;
      }
      long limitMillis = events == 0 ? firstOverdueMillis() : gapOverdueMillis();
      long silentMillis =
          TimeUnit.NANOSECONDS.toMillis(environment.clock().nanoTime() - lastProgressNanos);
      if (silentMillis < limitMillis || !exchange.isWritable()) {
        watchForSilence(Math.max(limitMillis - silentMillis, MIN_ATTEMPT_MILLIS));
        return;
      }
      if (attempts >= route.maxAttempts() || queue.endpointCount() < 2 || !queue.tryRepeat()) {
        // The endpoint may still go on, and a repeat may be affordable later.
        watchForSilence(limitMillis);
        return;
      }
      waiting.exclude(placement.endpoint().id());
      cancel(AttemptOutcome.TIMED_OUT);
      afterFailure(
          this,
          false,
          ErrorKind.ENDPOINT_FAILED,
          "silent for " + silentMillis + " ms",
          /* mayRepeat= */ true);
    }

    /** Ends the attempt at this side; the endpoint sees its connection close. */
    private void cancel(AttemptOutcome outcome) {
      if (isOver) {
        return;
      }
      close(outcome);
      call.cancel();
    }

    private void close(AttemptOutcome outcome) {
      isOver = true;
      overdueTask.cancel();
      if (current.equals(Optional.of(this))) {
        current = Optional.empty();
      }
      queue.onEnded(placement, false, outcome);
      reportEnding(outcome);
    }

    /** Tells how the endpoint's version did, unless the request has not run. */
    private void reportEnding(AttemptOutcome outcome) {
      Optional<CanaryTrial.Ending> ending =
          switch (outcome) {
            case COMPLETED -> Optional.of(CanaryTrial.Ending.ANSWERED);
            case FAILED, BROKEN -> Optional.of(CanaryTrial.Ending.FAILED);
            case TIMED_OUT, CANCELLED -> Optional.of(CanaryTrial.Ending.CUT_SHORT);
            case FULL, FULL_AND_CLOSING, MISDIRECTED, UNREACHABLE -> Optional.empty();
          };
      double millis = (environment.clock().nanoTime() - sentNanos) / 1e6;
      double units = 1 + events + waiting.size().promptTokens() / TOKENS_PER_UNIT;
      ending.ifPresent(
          how ->
              environment
                  .moves()
                  .onAttemptEnded(placement.endpoint(), route.name(), how, millis, units));
    }

    @Override
    public boolean isOwnResponse(int status, HttpHeaders headers) {
      boolean isOwn = environment.endpoints().isAnswerTo(request.requestId(), headers);
      if (!isOwn) {
        LOG.infof(
            "answer.skipped id=%s endpoint=%s status=%d reason=\"answer to another request\"",
            request.requestId(), placement.endpoint().id(), status);
      }
      return isOwn;
    }

    @Override
    public void onHead(int status, HttpHeaders headers) {
      head = environment.endpoints().decodeHead(status, headers);
      if (!head.isMisdirected()) {
        queue.onNotice(placement.endpoint(), environment.endpoints().notice(status, headers));
      }
      lastProgressNanos = environment.clock().nanoTime();
    }

    private boolean isEventStream() {
      return route.isStream() && head.isSuccess() && head.isSigned();
    }

    @Override
    public void onBody(byte[] part) {
      if (isOver) {
        return;
      }
      if (isEventStream()) {
        splitter.accept(part, this::onEvent);
        if (splitter.partialBytes() > EventSplitter.MAX_EVENT_BYTES) {
          cancel(AttemptOutcome.BROKEN);
          repeatOrFail(this, false, ErrorKind.TRUNCATED_ANSWER, "an event has no end");
        }
        return;
      }
      collected.writeBytes(part);
      if (collected.size() > MAX_COLLECTED_BYTES && phase != Phase.ENDED) {
        passOnCollected();
      }
    }

    private void passOnCollected() {
      if (!headForwarded && !(head.isSigned() && head.isSuccess())) {
        cancel(AttemptOutcome.BROKEN);
        repeatOrFail(this, false, ErrorKind.TRUNCATED_ANSWER, "a failure with a large body");
        return;
      }
      forwardHead();
      exchange.write(collected.toByteArray());
      collected.reset();
      call.setReading(exchange.isWritable());
    }

    private void forwardHead() {
      if (!headForwarded) {
        headForwarded = true;
        phase = Phase.ANSWERING;
        exchange.start(head.status(), head.returned());
      }
    }

    private void onEvent(byte[] event) {
      if (phase == Phase.ENDED) {
        return;
      }
      if (EventSplitter.isComment(event)) {
        // Keeps the connection open, but brings the answer no further.
        forwardHead();
        exchange.write(event);
        return;
      }
      lastProgressNanos = environment.clock().nanoTime();
      events++;
      Optional<String> id = EventId.of(event);
      boolean isRepetition =
          id.isPresent()
              && lastEventId.isPresent()
              && !EventId.isAfter(id.get(), lastEventId.get());
      if (isRepetition) {
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
      environment.metrics().firstEventMillis.update(elapsedMillis());
    }

    @Override
    public void onEnd() {
      if (isOver) {
        return;
      }
      if (isEventStream()) {
        onStreamEnd();
      } else {
        onWholeAnswer();
      }
    }

    private void onStreamEnd() {
      if (splitter.hasPartialEvent() || events == 0) {
        close(AttemptOutcome.BROKEN);
        repeatOrFail(this, false, ErrorKind.TRUNCATED_ANSWER, "the stream ended within an event");
        return;
      }
      queue.onStreamEnd(placement, events, (lastProgressNanos - firstEventNanos) / 1e6);
      close(AttemptOutcome.COMPLETED);
      clearContent();
      if (phase != Phase.ENDED) {
        respond(this);
      }
    }

    private void onWholeAnswer() {
      AnswerVerdict verdict = AnswerVerdict.of(head);
      close(verdict.outcome());
      if (verdict == AnswerVerdict.SERVED) {
        clearContent();
      }
      if (phase == Phase.ENDED) {
        return;
      }
      switch (verdict) {
        case SERVED -> {
          queue.onFirstEvent(placement, (environment.clock().nanoTime() - sentNanos) / 1e6);
          respond(this);
        }
        case NOT_RUN ->
            repeatOrFail(
                this,
                true,
                ErrorKind.ENDPOINT_REFUSED,
                "the endpoint answered " + head.status() + " without running the request");
        case MISDIRECTED -> {
          // The request reached no endpoint of its service.
          attempts--;
          repeatOrFail(
              this, true, ErrorKind.ENDPOINT_REFUSED, "another process has the endpoint's address");
        }
        case FAILED -> {
          if (headForwarded) {
            repeatOrFail(this, false, ErrorKind.ENDPOINT_FAILED, "the stream was not resumed");
            return;
          }
          failedAnswer = Optional.of(this);
          repeatOrFail(
              this, false, ErrorKind.ENDPOINT_FAILED, "the endpoint answered " + head.status());
        }
        case UNUSABLE ->
            repeatOrFail(
                this,
                false,
                ErrorKind.TRUNCATED_ANSWER,
                "the endpoint answered " + head.status() + " without a signature");
        default -> throw new IllegalStateException("unknown verdict " + verdict);
      }
    }

    private void clearContent() {
      if (!environment.quarantine().isEmpty()) {
        environment.quarantine().onServed(request.contentHash(customer));
      }
    }

    @Override
    public void onFailure(Throwable cause, boolean bytesSent) {
      if (isOver) {
        return;
      }
      close(bytesSent ? AttemptOutcome.BROKEN : AttemptOutcome.UNREACHABLE);
      if (bytesSent) {
        environment
            .quarantine()
            .onCrash(
                request.contentHash(customer),
                placement.endpoint(),
                TimeUnit.NANOSECONDS.toMillis(environment.clock().nanoTime() - sentNanos));
      }
      if (phase == Phase.ENDED) {
        return;
      }
      if (!bytesSent) {
        // Nothing reached the endpoint, so this was no attempt.
        attempts--;
        phase = Phase.WAITING;
        LOG.infof(
            "attempt.unreachable id=%s endpoint=%s reason=\"%s\"",
            request.requestId(), placement.endpoint().id(), cause);
        queue.submit(waiting);
        return;
      }
      repeatOrFail(this, false, ErrorKind.ENDPOINT_FAILED, String.valueOf(cause));
    }
  }
}
