package org.buckthornferry.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
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
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Predicate;
import jdk.net.ExtendedSocketOptions;

/**
 * An HTTP/1.1 client that keeps idle connections. A request is sent once on one connection and is
 * never repeated by the client.
 */
public final class HttpConnector {
  private static final int MAX_IDLE_PER_ADDRESS = 256;

  /**
   * The largest response that is collected unless a call says less, in bytes: several of the
   * store's largest values or pages. Collecting takes up to three times as much memory.
   */
  private static final int MAX_COLLECTED_BYTES = 16 << 20;

  /**
   * The share of a server's stated idle time during which a connection is reused; the rest covers
   * the way of a request to the server.
   */
  private static final double IDLE_REUSE_SHARE = 0.6;

  /** How long a connection is reused when the server states no idle time, in milliseconds. */
  private static final long DEFAULT_IDLE_MILLIS = 4_000;

  /** Silence after which the kernel probes an open connection, and the pause between probes. */
  private static final int PROBE_SECONDS = 1;

  /** Unanswered probes after which the kernel resets a connection. */
  private static final int PROBE_COUNT = 3;

  private final Bootstrap bootstrap;
  private final Map<InetSocketAddress, ConcurrentLinkedDeque<IdleChannel>> idle =
      new ConcurrentHashMap<>();

  /** Which idle connections a request may use. */
  public enum Reuse {
    /** None; a new connection is opened. */
    NONE,
    /** Only those that the server certainly has not closed yet; for requests that run once. */
    FRESH,
    /** All; a request on one that the server is closing fails and may be sent again. */
    ANY
  }

  private record IdleChannel(Channel channel, long reusableUntilNanos) {
    boolean isReusable(long nowNanos) {
      return channel.isActive() && reusableUntilNanos - nowNanos > 0;
    }
  }

  /**
   * Creates a client.
   *
   * @param connectTimeoutMillis the longest time to establish a connection, in milliseconds
   */
  public HttpConnector(EventLoopGroup eventLoops, int connectTimeoutMillis) {
    this.bootstrap =
        new Bootstrap()
            .group(eventLoops)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMillis)
            .option(ChannelOption.SO_KEEPALIVE, true)
            .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), PROBE_SECONDS)
            .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), PROBE_SECONDS)
            .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), PROBE_COUNT)
            .handler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    channel.pipeline().addLast(new HttpClientCodec());
                    channel.pipeline().addLast(new ClientConnection());
                  }
                });
  }

  /** Sends a request; the listener hears the response in parts. */
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
   * Sends a request; the listener hears the response in parts. The header fields are taken over;
   * they contain {@code Host}.
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
            request, listener, (channel, idleMillis) -> keep(address, channel, idleMillis));
    Channel reused = takeIdle(address, reuse);
    if (reused != null) {
      call.sendOn(reused);
    } else {
      bootstrap
          .connect(address)
          .addListener((ChannelFuture connected) -> call.onConnected(connected));
    }
    return call;
  }

  /**
   * Sends a request and returns its whole response. Fails with {@link HttpFailure}, also when no
   * response has ended after {@code timeoutMillis}.
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
        MAX_COLLECTED_BYTES,
        timeoutMillis);
  }

  /**
   * Sends a request like the other method, on a connection as {@code reuse} says.
   *
   * @param isOwn whether a response with these header fields answers the request; others are
   *     skipped, because they answer earlier requests on the connection
   * @param maxBodyBytes the largest response body; the request fails when more arrives
   */
  public CompletableFuture<HttpReply> exchange(
      InetSocketAddress address,
      String method,
      String pathAndQuery,
      Map<String, String> headers,
      byte[] body,
      Reuse reuse,
      Predicate<HttpHeaders> isOwn,
      int maxBodyBytes,
      long timeoutMillis) {
    CollectingListener listener = new CollectingListener(isOwn, maxBodyBytes);
    HttpHeaders fields = fields(address, headers);
    HttpCall call = send(address, method, pathAndQuery, fields, body, reuse, listener);
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

  private Channel takeIdle(InetSocketAddress address, Reuse reuse) {
    ConcurrentLinkedDeque<IdleChannel> channels = idle.get(address);
    if (channels == null || reuse == Reuse.NONE) {
      return null;
    }
    long nowNanos = System.nanoTime();
    IdleChannel connection = channels.pollLast();
    while (connection != null && !connection.channel.isActive()) {
      connection = channels.pollLast();
    }
    if (connection == null) {
      return null;
    }
    if (reuse == Reuse.FRESH && !connection.isReusable(nowNanos)) {
      // The connections behind it have been idle for even longer.
      channels.addLast(connection);
      return null;
    }
    return connection.channel;
  }

  private void keep(InetSocketAddress address, Channel channel, OptionalLong idleLimitMillis) {
    ConcurrentLinkedDeque<IdleChannel> channels =
        idle.computeIfAbsent(address, unused -> new ConcurrentLinkedDeque<>());
    if (channels.size() >= MAX_IDLE_PER_ADDRESS) {
      channel.close();
      return;
    }
    long idleMillis = (long) (IDLE_REUSE_SHARE * idleLimitMillis.orElse(DEFAULT_IDLE_MILLIS));
    channels.addLast(
        new IdleChannel(channel, System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(idleMillis)));
  }

  private static HttpHeaders fields(InetSocketAddress address, Map<String, String> headers) {
    HttpHeaders fields = new DefaultHttpHeaders();
    headers.forEach(fields::set);
    fields.set(HttpHeaderNames.HOST, hostHeader(address));
    return fields;
  }

  private static String hostHeader(InetSocketAddress address) {
    return address.getHostString() + ":" + address.getPort();
  }
}
