package org.buckthornferry.relay;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.buckthornferry.catalog.Endpoint;
import org.buckthornferry.dispatch.ForwardingPeers;
import org.buckthornferry.fleet.FleetView;
import org.buckthornferry.http.HttpCall;
import org.buckthornferry.http.HttpConnector;
import org.buckthornferry.http.HttpReply;
import org.buckthornferry.http.HttpResponseListener;

/**
 * Sends requests to endpoints, through another instance where this one is cut off from them. The
 * other instance decides nothing: admission, limits, attempts and the response stay here.
 */
final class EndpointClient {
  /**
   * Time without an answer after which a cancelled request counts against the peer, in
   * milliseconds: it may be cut off as well and not know it yet.
   */
  private static final long SILENCE_MILLIS = 250;

  private final RelayEnvironment environment;
  private final ForwardingPeers peers;

  /**
   * How a request is sent.
   *
   * @param requestId the id of the caller's request; empty for a control request
   * @param isForwarded whether another instance is to pass the request on
   * @param isBoundToDomain whether no other failure domain may get the request
   * @param timeoutMillis how long the response is of use
   */
  record Path(String requestId, boolean isForwarded, boolean isBoundToDomain, long timeoutMillis) {}

  EndpointClient(RelayEnvironment environment, ForwardingPeers peers) {
    this.environment = environment;
    this.peers = peers;
  }

  /** Sends a request; failures of forwarded requests are {@link ForwardFailure}s. */
  HttpCall send(
      Endpoint endpoint,
      Path path,
      String method,
      String uri,
      HttpHeaders headers,
      byte[] body,
      HttpConnector.Reuse reuse,
      HttpResponseListener listener) {
    HttpConnector connector = environment.connector();
    if (!path.isForwarded) {
      return connector.send(endpoint.address(), method, uri, headers, body, reuse, listener);
    }
    long nowNanos = environment.clock().nanoTime();
    Map<String, InetSocketAddress> addresses =
        environment.blackboard().read(FleetView.ENTRY).forwardAddresses();
    Optional<String> peerId =
        peers.choose(path.isBoundToDomain, nowNanos).filter(addresses::containsKey);
    if (peerId.isEmpty()) {
      environment
          .scheduler()
          .schedule(
              () ->
                  listener.onFailure(
                      new ForwardFailure(ForwardFailure.Kind.REFUSED, "no instance can forward"),
                      false),
              0);
      return HttpCall.NONE;
    }
    headers.set(ForwardFields.ENDPOINT, endpoint.id());
    headers.set(ForwardFields.STARTED, endpoint.startedEpochMillis());
    headers.set(ForwardFields.REQUEST_ID, path.requestId);
    headers.set(ForwardFields.REUSE, reuse.name());
    headers.set(ForwardFields.TIMEOUT_MILLIS, path.timeoutMillis);
    peers.onSent(peerId.get());
    environment.metrics().forwarded.inc();
    ForwardedCall call = new ForwardedCall(peerId.get(), listener);
    call.connectorCall =
        connector.send(
            addresses.get(peerId.get()),
            method,
            uri,
            headers,
            body,
            reuse == HttpConnector.Reuse.ANY ? HttpConnector.Reuse.ANY : HttpConnector.Reuse.FRESH,
            call);
    return call;
  }

  /** Sends a control request and returns the complete response. */
  CompletableFuture<HttpReply> exchange(
      Endpoint endpoint,
      Path path,
      EndpointProtocol.ControlRequest request,
      HttpConnector.Reuse reuse,
      int maxBodyBytes) {
    return environment
        .connector()
        .exchange(
            (headers, listener) ->
                send(
                    endpoint,
                    path,
                    request.method(),
                    request.path(),
                    headers,
                    request.body(),
                    reuse,
                    listener),
            endpoint.address(),
            request.headers(),
            environment.endpoints()::isControlResponse,
            maxBodyBytes,
            path.timeoutMillis);
  }

  /** A request on its way through another instance. */
  private final class ForwardedCall implements HttpResponseListener, HttpCall {
    private final String peerId;
    private final HttpResponseListener listener;
    private HttpCall connectorCall = HttpCall.NONE;
    private Optional<ForwardFailure> failure = Optional.empty();
    private final long sentNanos = environment.clock().nanoTime();
    private boolean hasAnswered;
    private boolean hasEnded;

    private ForwardedCall(String peerId, HttpResponseListener listener) {
      this.peerId = peerId;
      this.listener = listener;
    }

    @Override
    public String requestId() {
      return listener.requestId();
    }

    @Override
    public boolean matchesRequest(int status, HttpHeaders headers) {
      return headers.contains(ForwardFields.FAILURE) || listener.matchesRequest(status, headers);
    }

    @Override
    public void onHead(int status, HttpHeaders headers) {
      String kind = headers.get(ForwardFields.FAILURE);
      if (kind != null) {
        ForwardFailure.Kind known = ForwardFields.constant(kind, ForwardFailure.Kind.PEER_BROKEN);
        failure = Optional.of(new ForwardFailure(known, "from " + peerId));
        return;
      }
      hasAnswered = true;
      peers.onAnswered(peerId);
      boolean isUnframed = headers.contains(ForwardFields.UNFRAMED);
      ForwardFields.removeHopFields(headers);
      if (!isUnframed) {
        headers.set(HttpHeaderNames.TRANSFER_ENCODING, "chunked");
      }
      listener.onHead(status, headers);
    }

    @Override
    public void onBody(byte[] part) {
      if (failure.isEmpty()) {
        listener.onBody(part);
      }
    }

    @Override
    public void onEnd() {
      end();
      if (failure.isPresent()) {
        fail(failure.get());
      } else {
        listener.onEnd();
      }
    }

    @Override
    public void onFailure(Throwable cause, boolean mayHaveReachedServer) {
      end();
      fail(
          new ForwardFailure(
              mayHaveReachedServer
                  ? ForwardFailure.Kind.PEER_BROKEN
                  : ForwardFailure.Kind.PEER_UNREACHABLE,
              peerId + ": " + cause));
    }

    private void fail(ForwardFailure reason) {
      long nowNanos = environment.clock().nanoTime();
      if (reason.kind().isOfPeer()) {
        peers.onFailed(peerId, nowNanos);
      } else if (reason.kind() == ForwardFailure.Kind.ENDPOINT_UNREACHABLE) {
        peers.onUnreachable(peerId, nowNanos);
      }
      listener.onFailure(reason, reason.kind().mayHaveReachedEndpoint());
    }

    @Override
    public void cancel() {
      long nowNanos = environment.clock().nanoTime();
      boolean isSilent =
          !hasAnswered && nowNanos - sentNanos >= TimeUnit.MILLISECONDS.toNanos(SILENCE_MILLIS);
      if (isSilent) {
        peers.onUnreachable(peerId, nowNanos);
      }
      end();
      connectorCall.cancel();
    }

    @Override
    public void setReading(boolean reading) {
      connectorCall.setReading(reading);
    }

    @Override
    public String connectionLabel() {
      return peerId + ":" + connectorCall.connectionLabel();
    }

    private void end() {
      if (!hasEnded) {
        hasEnded = true;
        peers.onEnded(peerId);
      }
    }
  }
}
