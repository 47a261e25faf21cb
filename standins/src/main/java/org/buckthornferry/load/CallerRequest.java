package org.buckthornferry.load;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpHeaders;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.buckthornferry.config.ServiceKind;
import org.buckthornferry.http.HttpCall;
import org.buckthornferry.http.HttpResponseListener;

/** One request with its repeats, from its intended start until its caller has an outcome. */
final class CallerRequest {
  private static final int MAX_SENDINGS_PER_REPEAT = 4;

  private final LoadContext context;
  private final Arrival arrival;
  private final String id;
  private final RequestBody body;
  private final ResponseCheck check;
  private final long intendedNanos;
  private final Consumer<RequestRecord> onEnd;
  private final List<AttemptRecord> attempts = new ArrayList<>();
  private HttpCall call;
  private Attempt running;
  private int sent;
  private boolean ended;

  /**
   * Creates a request that is not sent yet.
   *
   * @param intendedNanos the intended start on the clock of the context
   * @param onEnd receives the record exactly once
   */
  CallerRequest(
      LoadContext context, Arrival arrival, long intendedNanos, Consumer<RequestRecord> onEnd) {
    this.context = context;
    this.arrival = arrival;
    this.id = context.runId() + "-" + arrival.index();
    this.body = RequestBody.of(arrival, id);
    this.check =
        arrival.requestClass().kind() == ServiceKind.MODEL
            ? new StreamCheck(body.contentHash(), arrival.maxTokens(), context.gapNanos(arrival))
            : new PlainCheck(body.contentHash());
    this.intendedNanos = intendedNanos;
    this.onEnd = onEnd;
  }

  /** Sends the request for the first time. */
  synchronized void start() {
    long patienceMillis = arrival.requestClass().patienceMillis();
    long sinceIntendedMillis =
        TimeUnit.NANOSECONDS.toMillis(context.clock().nanoTime() - intendedNanos);
    schedule(this::giveUp, Math.max(1, patienceMillis - sinceIntendedMillis));
    send();
  }

  private synchronized void send() {
    if (ended) {
      return;
    }
    InetSocketAddress target = context.targets().choose(arrival, sent);
    running = new Attempt(target, context.wallMillis().getAsLong());
    sent++;
    call =
        context
            .connector()
            .send(target, "POST", arrival.requestClass().path(), headers(), body.bytes(), running);
  }

  private Map<String, String> headers() {
    RequestClass requestClass = arrival.requestClass();
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("Content-Type", "application/json");
    headers.put("Authorization", "Bearer " + context.customerKey(requestClass.customer()));
    headers.put("Request-Timeout-Ms", Long.toString(remainingDeadlineMillis()));
    if (requestClass.sendTier()) {
      headers.put("Request-Tier", requestClass.tier().name().toLowerCase(java.util.Locale.ROOT));
    }
    if (requestClass.idempotencyKey()) {
      headers.put("Idempotency-Key", id);
      if (check.tokens() > 0 && requestClass.kind() == ServiceKind.MODEL) {
        headers.put("Last-Event-ID", Long.toString(check.tokens() - 1));
      }
    }
    if (context.targets().isDirect()) {
      headers.put("Request-Id", id + "-" + sent);
    }
    return headers;
  }

  private long remainingDeadlineMillis() {
    long spentMillis = TimeUnit.NANOSECONDS.toMillis(context.clock().nanoTime() - intendedNanos);
    return Math.max(1, arrival.requestClass().deadlineMillis() - spentMillis);
  }

  private synchronized void onAttemptEnd(
      InetSocketAddress target, AttemptRecord attempt, boolean complete) {
    if (ended) {
      return;
    }
    running = null;
    context.targets().ended(target);
    attempts.add(attempt);
    if (complete) {
      finish(Outcome.COMPLETE);
      return;
    }
    boolean mismatched = attempt.errorKind().isEmpty();
    Retry retry = Retry.of(attempt, arrival.requestClass().idempotencyKey());
    if (!mismatched && retry.allowed() && mayRepeat()) {
      schedule(this::send, retry.delayMillis(countedAttempts()));
    } else {
      finish(mismatched ? Outcome.MISMATCHED : retry.finalOutcome());
    }
  }

  /** Sendings that found no listener do not count, as a load balancer would hide them. */
  private boolean mayRepeat() {
    int most = context.maxRepeats();
    return countedAttempts() <= most && sent <= most * MAX_SENDINGS_PER_REPEAT;
  }

  private int countedAttempts() {
    return (int) attempts.stream().filter(a -> !a.errorKind().equals(Retry.CONNECT_FAILED)).count();
  }

  private synchronized void giveUp() {
    if (ended) {
      return;
    }
    if (running != null) {
      call.cancel();
      context.targets().ended(running.target);
      attempts.add(running.toRecord(Outcome.GAVE_UP.name(), false, 0));
    }
    finish(Outcome.GAVE_UP);
  }

  private void finish(Outcome outcome) {
    ended = true;
    onEnd.accept(record(outcome));
  }

  private RequestRecord record(Outcome outcome) {
    RequestClass requestClass = arrival.requestClass();
    long nowNanos = context.clock().nanoTime();
    long firstNanos = check.firstTokenNanos();
    long sinceIntendedMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos - intendedNanos);
    return new RequestRecord(
        id,
        requestClass.name(),
        requestClass.kind(),
        requestClass.tier(),
        requestClass.customer(),
        requestClass.path(),
        requestClass.idempotencyKey() ? id : "",
        requestClass.idempotent(),
        body.contentHash(),
        arrival.phase().name(),
        arrival.phase().measured(),
        context.wallMillis().getAsLong() - sinceIntendedMillis,
        TimeUnit.NANOSECONDS.toMicros(arrival.intendedNanos()),
        requestClass.deadlineMillis(),
        arrival.promptTokens(),
        arrival.maxTokens(),
        outcome,
        TimeUnit.NANOSECONDS.toMicros(nowNanos - intendedNanos),
        firstNanos == 0 ? 0 : TimeUnit.NANOSECONDS.toMicros(firstNanos - intendedNanos),
        check.tokens(),
        check.mismatches(),
        attempts);
  }

  private void schedule(Runnable action, long delayMillis) {
    EventLoopGroup loops = context.eventLoops();
    loops.next().schedule(action, delayMillis, TimeUnit.MILLISECONDS);
  }

  /** Receives the response of one sending. */
  private final class Attempt implements HttpResponseListener {
    private final InetSocketAddress target;
    private final long startMillis;
    private final ProblemReader problem = new ProblemReader();
    private int status;
    private String requestId = "";
    private long retryAfterMillis;

    private Attempt(InetSocketAddress target, long startMillis) {
      this.target = target;
      this.startMillis = startMillis;
    }

    @Override
    public void onHead(int newStatus, HttpHeaders headers) {
      status = newStatus;
      requestId = headers.get("Request-Id", "");
      retryAfterMillis = problem.onHead(headers);
      if (isSuccess()) {
        synchronized (CallerRequest.this) {
          check.begin(requestId);
        }
      }
    }

    @Override
    public void onBody(byte[] part) {
      if (!isSuccess()) {
        problem.onBody(part);
        return;
      }
      synchronized (CallerRequest.this) {
        if (!ended) {
          check.onBody(part, context.clock().nanoTime());
        }
      }
    }

    @Override
    public void onEnd() {
      if (isSuccess()) {
        boolean complete;
        synchronized (CallerRequest.this) {
          complete = !ended && check.end();
        }
        onAttemptEnd(target, toRecord("", false, 0), complete);
      } else {
        ProblemReader.Problem read = problem.read(status, retryAfterMillis);
        onAttemptEnd(
            target, toRecord(read.errorKind(), read.notRun(), read.retryAfterMillis()), false);
      }
    }

    @Override
    public void onFailure(Throwable cause, boolean bytesSent) {
      String kind = bytesSent ? Retry.CONNECTION_LOST : Retry.CONNECT_FAILED;
      onAttemptEnd(target, toRecord(kind, !bytesSent, 0), false);
    }

    private boolean isSuccess() {
      return status >= 200 && status < 300;
    }

    private AttemptRecord toRecord(String errorKind, boolean notRun, long waitMillis) {
      return new AttemptRecord(
          target.getHostString() + ":" + target.getPort(),
          startMillis,
          context.wallMillis().getAsLong(),
          status,
          errorKind,
          notRun,
          requestId,
          waitMillis);
    }
  }
}
