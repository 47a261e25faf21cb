package org.buckthornferry.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import jdk.net.ExtendedSocketOptions;

/**
 * An HTTP/1.1 client with a pool of idle connections. Each request is sent once, on one connection;
 * the client never retries.
 */
public final class HttpConnector {
  private static final int MAX_IDLE_CONNECTIONS_PER_ADDRESS = 256;

  /**
   * The default maximum size of a buffered response: several of the store's largest values or
   * pages. Buffering takes up to three times as much memory.
   */
  private static final int MAX_BUFFERED_BYTES = 16 << 20;

  /**
   * The share of the server's idle timeout during which a connection is reused; the rest covers the
   * network latency of a request.
   */
  private static final double IDLE_REUSE_SHARE = 0.6;

  /** The idle timeout to assume if the server does not state one. */
  private static final long DEFAULT_IDLE_TIMEOUT_MILLIS = 4_000;

  /** The idle time before the first TCP keep-alive probe, and the interval between probes. */
  private static final int KEEPALIVE_PROBE_SECONDS = 1;

  /** How long a new connection has to stay open to show that its server is there. */
  private static final long PROBE_MILLIS = 20;

  /** Unacknowledged TCP keep-alive probes after which the kernel resets a connection. */
  private static final int KEEPALIVE_PROBE_COUNT = 3;

  private final Bootstrap bootstrap;
  private final Map<InetSocketAddress, ConcurrentLinkedDeque<IdleChannel>> idle =
      new ConcurrentHashMap<>();
  private volatile ConnectListener connectListener = (address, isConnected) -> {};

  /** Sends a request with the given header fields; the listener receives the response. */
  @FunctionalInterface
  public interface Sender {
    /** Sends the request. */
    HttpCall send(HttpHeaders headers, HttpResponseListener listener);
  }

  /** Receives the outcome of each attempt to open a connection, on an event loop. */
  @FunctionalInterface
  public interface ConnectListener {
    /** Called when a connection was established or could not be. */
    void onConnect(InetSocketAddress address, boolean isConnected);
  }

  /** Which idle connections a request may reuse. */
  public enum Reuse {
    /** None; the request opens a new connection. */
    NONE,
    /** Only those within the server's idle timeout; for requests that must not be sent twice. */
    FRESH,
    /** All; a request fails if the server is closing the connection, and may be retried. */
    ANY
  }

  private record IdleChannel(
      Channel channel, ClientConnection connection, long reusableUntilNanos) {
    boolean isReusable(long nowNanos) {
      return channel.isActive() && reusableUntilNanos - nowNanos > 0;
    }
  }

  /**
   * Creates a client.
   *
   * @param connectTimeoutMillis the timeout of connection establishment
   */
  public HttpConnector(EventLoopGroup eventLoops, int connectTimeoutMillis) {
    this(eventLoops, connectTimeoutMillis, Optional.empty());
  }

  /**
   * Creates a client whose connections have a given source address.
   *
   * @param connectTimeoutMillis the timeout of connection establishment
   * @param localAddress the source address, or empty to let the system choose
   */
  public HttpConnector(
      EventLoopGroup eventLoops, int connectTimeoutMillis, Optional<InetAddress> localAddress) {
    this.bootstrap =
        new Bootstrap()
            .group(eventLoops)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMillis)
            // Reports the server's close as an event, which a broken connection does not have.
            .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
            .option(ChannelOption.SO_KEEPALIVE, true)
            .option(
                NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEPALIVE_PROBE_SECONDS)
            .option(
                NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL),
                KEEPALIVE_PROBE_SECONDS)
            .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEPALIVE_PROBE_COUNT)
            .handler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    ResponseDecoder decoder = new ResponseDecoder();
                    channel.pipeline().addLast(decoder);
                    channel.pipeline().addLast(new HttpRequestEncoder());
                    channel.pipeline().addLast(new ClientConnection(decoder));
                  }
                });
    localAddress.ifPresent(source -> bootstrap.localAddress(new InetSocketAddress(source, 0)));
  }

  /** Sets the receiver of the outcomes of connection attempts. */
  public void onConnect(ConnectListener listener) {
    connectListener = listener;
  }

  /**
   * Opens a connection to find out whether a server can be reached. The connect listener receives
   * the outcome after {@link #PROBE_MILLIS}, in which a connection that is not served breaks. The
   * connection is kept for later requests.
   */
  public void probe(InetSocketAddress address) {
    connect(
        address,
        connected -> {
          Channel channel = connected.channel();
          if (connected.isSuccess()) {
            channel
                .eventLoop()
                .schedule(() -> onProbed(address, channel), PROBE_MILLIS, TimeUnit.MILLISECONDS);
          }
        });
  }

  /** Opens a connection, and reports it to the connect listener if that fails. */
  private void connect(InetSocketAddress address, ChannelFutureListener onDone) {
    bootstrap
        .connect(address)
        .addListener(
            (ChannelFuture connected) -> {
              if (!connected.isSuccess()) {
                connectListener.onConnect(address, false);
              }
              onDone.operationComplete(connected);
            });
  }

  private void onProbed(InetSocketAddress address, Channel channel) {
    connectListener.onConnect(address, channel.isActive());
    if (channel.isActive()) {
      release(address, channel, OptionalLong.empty());
    }
  }

  /** Sends a request; the listener receives the response in chunks. */
  public HttpCall send(
      InetSocketAddress address,
      String method,
      String pathAndQuery,
      Map<String, String> headers,
      byte[] body,
      HttpResponseListener listener) {
    HttpHeaders fields = fields(address, headers);
    return send(address, method, pathAndQuery, fields, body, Reuse.FRESH, listener);
  }

  /**
   * Sends a request; the listener receives the response in chunks. The client takes ownership of
   * the header fields, which must contain {@code Host}.
   */
  public HttpCall send(
      InetSocketAddress address,
      String method,
      String pathAndQuery,
      HttpHeaders headers,
      byte[] body,
      Reuse reuse,
      HttpResponseListener listener) {
    if (body.length > 0 || !method.equals("GET")) {
      headers.setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
    }
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.valueOf(method),
            pathAndQuery,
            Unpooled.wrappedBuffer(body),
            headers,
            EmptyHttpHeaders.INSTANCE);
    PendingCall call =
        new PendingCall(
            request, listener, (channel, idleMillis) -> release(address, channel, idleMillis));
    Channel reused = takeIdle(address, reuse, listener.requestId());
    if (reused != null) {
      call.sendOn(reused);
    } else {
      connect(address, call::onConnected);
    }
    return call;
  }

  /**
   * Sends a request and returns the complete response. Fails with {@link HttpFailure}, also if the
   * response is not complete within {@code timeoutMillis}.
   */
  public CompletableFuture<HttpReply> exchange(
      InetSocketAddress address,
      String method,
      String pathAndQuery,
      Map<String, String> headers,
      byte[] body,
      long timeoutMillis) {
    return exchange(
        address,
        method,
        pathAndQuery,
        headers,
        body,
        Reuse.FRESH,
        fields -> true,
        MAX_BUFFERED_BYTES,
        timeoutMillis);
  }

  /**
   * Sends a request that may become invalid before it is sent, and returns the complete response.
   *
   * @param maySend whether the request may still be sent; asked on the connection's event loop
   *     directly before the request is written
   */
  public CompletableFuture<HttpReply> exchange(
      InetSocketAddress address,
      String method,
      String pathAndQuery,
      Map<String, String> headers,
      byte[] body,
      BooleanSupplier maySend,
      long timeoutMillis) {
    return exchange(
        (fields, listener) ->
            send(address, method, pathAndQuery, fields, body, Reuse.FRESH, listener),
        address,
        headers,
        new CollectingListener(fields -> true, MAX_BUFFERED_BYTES, maySend),
        timeoutMillis);
  }

  /**
   * Sends a request and returns the complete response, with explicit connection reuse.
   *
   * @param isMatch whether a response with these header fields belongs to the request; others are
   *     skipped, because they belong to earlier requests on the connection
   * @param maxBodyBytes the maximum size of the response body; the request fails if it is exceeded
   */
  public CompletableFuture<HttpReply> exchange(
      InetSocketAddress address,
      String method,
      String pathAndQuery,
      Map<String, String> headers,
      byte[] body,
      Reuse reuse,
      Predicate<HttpHeaders> isMatch,
      int maxBodyBytes,
      long timeoutMillis) {
    return exchange(
        (fields, listener) -> send(address, method, pathAndQuery, fields, body, reuse, listener),
        address,
        headers,
        isMatch,
        maxBodyBytes,
        timeoutMillis);
  }

  /**
   * Sends a request in a way of the caller's own and returns the complete response.
   *
   * @param host the address for the {@code Host} field
   * @param isMatch whether a response with these header fields belongs to the request
   * @param maxBodyBytes the maximum size of the response body; the request fails if it is exceeded
   */
  public CompletableFuture<HttpReply> exchange(
      Sender sender,
      InetSocketAddress host,
      Map<String, String> headers,
      Predicate<HttpHeaders> isMatch,
      int maxBodyBytes,
      long timeoutMillis) {
    return exchange(
        sender, host, headers, new CollectingListener(isMatch, maxBodyBytes), timeoutMillis);
  }

  private CompletableFuture<HttpReply> exchange(
      Sender sender,
      InetSocketAddress host,
      Map<String, String> headers,
      CollectingListener listener,
      long timeoutMillis) {
    HttpCall call = sender.send(fields(host, headers), listener);
    ScheduledFuture<?> timeout =
        bootstrap
            .config()
            .group()
            .schedule(
                () ->
                    listener.onFailure(
                        new TimeoutException("no response within " + timeoutMillis + " ms"), true),
                timeoutMillis,
                TimeUnit.MILLISECONDS);
    return listener
        .result()
        .handle(
            (reply, failure) -> {
              timeout.cancel(false);
              if (failure == null) {
                return reply;
              }
              call.cancel();
              throw failure instanceof HttpFailure known ? known : new HttpFailure(failure, true);
            });
  }

  /**
   * Returns whether the header fields of a response delimit its body, so that the end of the
   * connection is not the end of the body.
   */
  public static boolean statesLength(HttpHeaders headers) {
    return headers.contains(HttpHeaderNames.CONTENT_LENGTH)
        || headers.containsValue(
            HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED, /* ignoreCase= */ true);
  }

  /** Returns an idle connection that a request may use, or null. */
  private Channel takeIdle(InetSocketAddress address, Reuse reuse, String requestId) {
    ConcurrentLinkedDeque<IdleChannel> channels = idle.get(address);
    if (channels == null || reuse == Reuse.NONE) {
      return null;
    }
    long nowNanos = System.nanoTime();
    List<IdleChannel> unsuitable = new ArrayList<>();
    Channel found = null;
    while (found == null) {
      IdleChannel candidate = channels.pollLast();
      if (candidate == null) {
        break;
      }
      if (!candidate.channel.isActive()) {
        continue;
      }
      if (reuse == Reuse.FRESH && !candidate.isReusable(nowNanos)) {
        // The remaining connections have been idle for even longer.
        unsuitable.add(candidate);
        break;
      }
      if (candidate.connection.mayCarry(requestId)) {
        found = candidate.channel;
      } else {
        unsuitable.add(candidate);
      }
    }
    for (int i = unsuitable.size() - 1; i >= 0; i--) {
      channels.addLast(unsuitable.get(i));
    }
    return found;
  }

  private void release(InetSocketAddress address, Channel channel, OptionalLong idleTimeoutMillis) {
    ConcurrentLinkedDeque<IdleChannel> channels =
        idle.computeIfAbsent(address, unused -> new ConcurrentLinkedDeque<>());
    ClientConnection connection = channel.pipeline().get(ClientConnection.class);
    boolean isKept =
        channel.isActive()
            && channels.size() < MAX_IDLE_CONNECTIONS_PER_ADDRESS
            && connection.canCarryMore();
    if (!isKept) {
      channel.close();
      return;
    }
    long idleMillis =
        (long) (IDLE_REUSE_SHARE * idleTimeoutMillis.orElse(DEFAULT_IDLE_TIMEOUT_MILLIS));
    channels.addLast(
        new IdleChannel(
            channel, connection, System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(idleMillis)));
  }

  private static HttpHeaders fields(InetSocketAddress address, Map<String, String> headers) {
    HttpHeaders fields = new DefaultHttpHeaders();
    headers.forEach(fields::set);
    fields.set(HttpHeaderNames.HOST, Addresses.format(address));
    return fields;
  }
}
