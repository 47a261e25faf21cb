package org.buckthornferry.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

/** An HTTP/1.1 server with limits on headers, bodies, connections and unsent response bytes. */
public final class HttpServer {
  private static final int WRITE_BUFFER_LOW_WATER_BYTES = 32 * 1024;
  private static final int WRITE_BUFFER_HIGH_WATER_BYTES = 128 * 1024;
  private static final int ACCEPT_BACKLOG = 1_024;

  private final InetSocketAddress address;
  private final Supplier<HttpLimits> limits;
  private final Optional<SslContext> tls;
  private final EventLoopGroup eventLoops;
  private final HttpHandler handler;
  private final AtomicInteger openConnections = new AtomicInteger();
  private final ChannelGroup connections =
      new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);
  private volatile Channel serverChannel;
  private volatile boolean draining;

  /** Creates a server with fixed limits; {@link #start} makes it listen. */
  public HttpServer(
      InetSocketAddress address,
      HttpLimits limits,
      Optional<SslContext> tls,
      EventLoopGroup eventLoops,
      HttpHandler handler) {
    this(address, () -> limits, tls, eventLoops, handler);
  }

  /**
   * Creates a server; {@link #start} makes it listen.
   *
   * @param limits read once for each new connection
   */
  public HttpServer(
      InetSocketAddress address,
      Supplier<HttpLimits> limits,
      Optional<SslContext> tls,
      EventLoopGroup eventLoops,
      HttpHandler handler) {
    this.address = address;
    this.limits = limits;
    this.tls = tls;
    this.eventLoops = eventLoops;
    this.handler = handler;
  }

  /** Starts listening and returns the bound port; fails with the I/O error of the bind. */
  public CompletableFuture<Integer> start() {
    CompletableFuture<Integer> started = new CompletableFuture<>();
    new ServerBootstrap()
        .group(eventLoops)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childOption(
            ChannelOption.WRITE_BUFFER_WATER_MARK,
            new WriteBufferWaterMark(WRITE_BUFFER_LOW_WATER_BYTES, WRITE_BUFFER_HIGH_WATER_BYTES))
        .childHandler(new ConnectionInitializer())
        .bind(address)
        .addListener(
            (io.netty.channel.ChannelFuture bound) -> {
              if (bound.isSuccess()) {
                serverChannel = bound.channel();
                started.complete(((InetSocketAddress) serverChannel.localAddress()).getPort());
              } else {
                started.completeExceptionally(bound.cause());
              }
            });
    return started;
  }

  /** Stops accepting connections; open ones continue until their response has ended. */
  public void stop() {
    if (serverChannel != null) {
      serverChannel.close().syncUninterruptibly();
    }
  }

  /** Adds {@code Connection: close} to all further responses; connections stay open until then. */
  public void drain() {
    draining = true;
  }

  /** Closes the connections that have no request in progress. */
  public void closeIdleConnections() {
    for (Channel connection : connections) {
      connection.pipeline().fireUserEventTriggered(ServerConnection.CLOSE_WHEN_IDLE);
    }
  }

  /** Returns the number of open connections. */
  public int openConnections() {
    return openConnections.get();
  }

  private final class ConnectionInitializer extends ChannelInitializer<SocketChannel> {
    @Override
    protected void initChannel(SocketChannel channel) {
      HttpLimits current = limits.get();
      if (openConnections.incrementAndGet() > current.maxConnections()) {
        openConnections.decrementAndGet();
        channel.close();
        return;
      }
      channel.closeFuture().addListener(closed -> openConnections.decrementAndGet());
      connections.add(channel);
      tls.ifPresent(context -> channel.pipeline().addLast(context.newHandler(channel.alloc())));
      channel
          .pipeline()
          .addLast(new IdleStateHandler(0, 0, current.idleTimeoutMillis(), TimeUnit.MILLISECONDS))
          .addLast(new StrictRequestDecoder(current.maxHeaderBytes()))
          .addLast(new HttpResponseEncoder())
          .addLast(new RequestAssembler(current.maxBodyBytes()))
          .addLast(new ServerConnection(handler, () -> draining));
    }
  }
}
