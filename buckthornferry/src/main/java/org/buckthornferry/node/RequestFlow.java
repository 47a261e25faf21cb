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

/** The state of one request, from arrival to end of response. Used only on the control thread. */
final class RequestFlow {
  /** The estimated memory of a queued request besides its body, in bytes. */
  private static final long OVERHEAD_BYTES = 2_048;

  /** The stage of processing that a request has reached. */
  enum Phase {
    /** The claim was requested and has not been decided. */
    CLAIMING,
    /** The request is queued for an endpoint. */
    WAITING,
    /** The request was dispatched to an endpoint. */
    RUNNING,
    /** The response was sent, or the caller disconnected. */
    ENDED
  }

  private final CallerRequest request;
  private final HttpExchange exchange;
  private final Optional<RequestIdentity> identity;
  private final ContentHash contentHash;
  private Phase phase = Phase.CLAIMING;
  private boolean callerDisconnected;
  private Optional<InetSocketAddress> endpointAddress = Optional.empty();
  private Optional<HttpCall> call = Optional.empty();
  private Optional<ResponseRelay> relay = Optional.empty();

  RequestFlow(CallerRequest request, HttpExchange exchange) {
    this.request = request;
    this.exchange = exchange;
    this.identity =
        request.idempotencyKey().map(key -> new RequestIdentity(request.customer().id(), key));
    this.contentHash = ContentHash.of(request.target().route().path(), request.body());
  }

  CallerRequest request() {
    return request;
  }

  HttpExchange exchange() {
    return exchange;
  }

  /** Returns the identity that a retry of the request shares; empty without an idempotency key. */
  Optional<RequestIdentity> identity() {
    return identity;
  }

  ContentHash contentHash() {
    return contentHash;
  }

  Phase phase() {
    return phase;
  }

  void setPhase(Phase newPhase) {
    phase = newPhase;
  }

  boolean isCallerDisconnected() {
    return callerDisconnected;
  }

  void markCallerDisconnected() {
    callerDisconnected = true;
  }

  void attachCall(InetSocketAddress newAddress, HttpCall newCall, ResponseRelay newRelay) {
    endpointAddress = Optional.of(newAddress);
    call = Optional.of(newCall);
    relay = Optional.of(newRelay);
  }

  /** Returns the address of the endpoint that runs the request; empty before dispatch. */
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
   * Returns whether the endpoint should finish the request after the caller disconnects. This is so
   * when the caller sent an idempotency key, because it can then fetch the response with a retry.
   */
  boolean continuesAfterDisconnect() {
    return identity.isPresent();
  }

  /** Returns whether the request is cancelled when its deadline passes after dispatch. */
  boolean isCancelledAtDeadline() {
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
        String.format(Locale.ROOT, "%016x%016x", contentHash.high(), contentHash.low()),
        stream ? RequestContent.prefixHashes(request.body()) : List.of(),
        stream ? RequestContent.promptTokens(request.body()) : 1,
        request.body().length + OVERHEAD_BYTES,
        request.receivedNanos(),
        request.deadlineNanos(),
        false);
  }

  /** Responds with a problem document, or aborts the connection when a stream has begun. */
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
