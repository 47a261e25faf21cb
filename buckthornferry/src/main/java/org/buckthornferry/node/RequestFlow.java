package org.buckthornferry.node;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.buckthornferry.admission.Tier;
import org.buckthornferry.config.ServiceKind;
import org.buckthornferry.error.ErrorKind;
import org.buckthornferry.error.RequestException;
import org.buckthornferry.http.HttpCall;
import org.buckthornferry.http.HttpExchange;
import org.buckthornferry.http.ProblemDocument;
import org.buckthornferry.request.ContentHash;
import org.buckthornferry.request.RequestIdentity;
import org.buckthornferry.routing.PendingRequest;

/** One request from its arrival to the end of its response. Used only on the control thread. */
final class RequestFlow {
  /** The memory of a waiting request besides its body, in bytes. */
  private static final long BOOKKEEPING_BYTES = 2_048;

  /** How far a request has come. */
  enum Phase {
    /** Its claim is being asked for. */
    CLAIMING,
    /** It waits for an endpoint. */
    WAITING,
    /** An endpoint runs it. */
    RUNNING,
    /** Its response was sent, or its caller has gone. */
    ENDED
  }

  private final CallerRequest request;
  private final HttpExchange exchange;
  private final Optional<RequestIdentity> identity;
  private final ContentHash content;
  private Phase phase = Phase.CLAIMING;
  private boolean callerGone;
  private Optional<InetSocketAddress> endpointAddress = Optional.empty();
  private Optional<HttpCall> call = Optional.empty();
  private Optional<ResponseRelay> relay = Optional.empty();

  RequestFlow(CallerRequest request, HttpExchange exchange) {
    this.request = request;
    this.exchange = exchange;
    this.identity =
        request.idempotencyKey().map(key -> new RequestIdentity(request.customer().id(), key));
    this.content = ContentHash.of(request.target().route().path(), request.body());
  }

  CallerRequest request() {
    return request;
  }

  HttpExchange exchange() {
    return exchange;
  }

  /** Returns the identity by which the caller can repeat the request; empty without a key. */
  Optional<RequestIdentity> identity() {
    return identity;
  }

  ContentHash content() {
    return content;
  }

  Phase phase() {
    return phase;
  }

  void enter(Phase newPhase) {
    phase = newPhase;
  }

  boolean isCallerGone() {
    return callerGone;
  }

  void callerGone() {
    callerGone = true;
  }

  void running(InetSocketAddress newAddress, HttpCall newCall, ResponseRelay newRelay) {
    endpointAddress = Optional.of(newAddress);
    call = Optional.of(newCall);
    relay = Optional.of(newRelay);
  }

  /** Returns the endpoint that runs the request; empty before its dispatch. */
  Optional<InetSocketAddress> endpointAddress() {
    return endpointAddress;
  }

  Optional<ResponseRelay> relay() {
    return relay;
  }

  void cancelCall() {
    call.ifPresent(HttpCall::cancel);
  }

  /**
   * Returns whether a caller that has gone may come back for the response with the same key, so
   * that the endpoint should finish the request.
   */
  boolean finishesWithoutCaller() {
    return identity.isPresent();
  }

  /** Returns whether the request is cancelled when its deadline passes after dispatch. */
  boolean endsAtDeadline() {
    return request.tier() != Tier.CRITICAL && request.target().route().idempotent();
  }

  boolean isStream() {
    return request.target().service().kind() == ServiceKind.MODEL;
  }

  PendingRequest toPending() {
    boolean stream = isStream();
    return new PendingRequest(
        request.requestId(),
        request.target().service().id(),
        request.target().route().path(),
        request.tier(),
        request.customer().id(),
        request.customer().weight(),
        String.format(Locale.ROOT, "%016x%016x", content.high(), content.low()),
        stream ? RequestContent.prefixHashes(request.body()) : List.of(),
        stream ? RequestContent.promptTokens(request.body()) : 1,
        request.body().length + BOOKKEEPING_BYTES,
        request.receivedNanos(),
        request.deadlineNanos(),
        false);
  }

  /** Answers with a problem document, or breaks a stream off that has begun. */
  void fail(RequestException failure, boolean headSent) {
    phase = Phase.ENDED;
    if (headSent) {
      exchange.abort();
    } else {
      ProblemDocument.of(failure).withHeader("Request-Id", request.requestId()).sendTo(exchange);
    }
  }

  void fail(ErrorKind kind, String detail) {
    fail(new RequestException(kind, detail), false);
  }
}
