package org.buckthornferry.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.TimeUnit;

/**
 * An HTTP/1.1 client that keeps idle connections. A request is sent once on one connection and is
 * never repeated by the client.
 */
public final class HttpConnector {
  private static final int MAX_IDLE_PER_ADDRESS = 256;

  private final Bootstrap bootstrap;
  private final Map<InetSocketAddress, ConcurrentLinkedDeque<Channel>> idle =
      new ConcurrentHashMap<>();

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
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.valueOf(method),
            pathAndQuery,
            Unpooled.wrappedBuffer(body));
    headers.forEach(request.headers()::set);
    request.headers().set(HttpHeaderNames.HOST, hostHeader(address));
    request.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
    PendingCall call = new PendingCall(request, listener, channel -> keep(address, channel));
    Channel reused = takeIdle(address);
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
    CollectingListener listener = new CollectingListener();
    HttpCall call = send(address, method, pathAndQuery, headers, body, listener);
    return listener
        .result()
        .orTimeout(timeoutMillis, TimeUnit.MILLISECONDS)
        .handle(
            (reply, failure) -> {
              if (failure == null) {
                return reply;
              }
              call.cancel();
              throw failure instanceof HttpFailure known ? known : new HttpFailure(failure, true);
            });
  }

  private Channel takeIdle(InetSocketAddress address) {
    ConcurrentLinkedDeque<Channel> channels = idle.get(address);
    if (channels == null) {
      return null;
    }
    Channel channel = channels.pollLast();
    while (channel != null && !channel.isActive()) {
      channel = channels.pollLast();
    }
    return channel;
  }

  private void keep(InetSocketAddress address, Channel channel) {
    ConcurrentLinkedDeque<Channel> channels =
        idle.computeIfAbsent(address, unused -> new ConcurrentLinkedDeque<>());
    if (channels.size() < MAX_IDLE_PER_ADDRESS) {
      channels.addLast(channel);
    } else {
      channel.close();
    }
  }

  private static String hostHeader(InetSocketAddress address) {
    return address.getHostString() + ":" + address.getPort();
  }
}
