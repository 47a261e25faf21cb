package org.buckthornferry.peer;

import com.codahale.metrics.MetricRegistry;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultithreadEventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslHandler;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.random.RandomGenerator;
import org.buckthornferry.util.Checks;
import org.buckthornferry.util.MonotonicClock;
import org.jboss.logging.Logger;

/**
 * Transports messages between instances over TCP. Opens one connection on demand to each peer that
 * this instance sends to; messages from a peer arrive on the connection that the peer opened.
 *
 * <p>Connections use mutual TLS when key files are configured. Without them only loopback addresses
 * are allowed unless {@code allowPlaintext} is set.
 */
public final class PeerTransport implements PeerSender {
  private static final Logger LOG = Logger.getLogger(PeerTransport.class);

  /** More than twice the designed number of instances, each of which may open one connection. */
  private static final int MAX_INBOUND_CONNECTIONS = 4_096;

  /** Twice the time after which the connecting end closes an idle connection. */
  private static final int INBOUND_IDLE_TIMEOUT_SECONDS = 120;

  private static final long STOP_TIMEOUT_MILLIS = 2_000;

  private final Hello self;
  private final InetSocketAddress bindAddress;
  private final boolean allowPlaintext;
  private final Optional<SslContext> serverTls;
  private final Optional<SslContext> clientTls;
  private final PeerAddressResolver resolver;
  private final BiConsumer<String, PeerMessage> receiver;
  private final PeerMetrics metrics;
  private final MonotonicClock clock;
  private final RandomGenerator random;
  private final MultithreadEventLoopGroup group =
      new NioEventLoopGroup(1, new DefaultThreadFactory("peer", true));
  private final EventLoop eventLoop = (EventLoop) group.next();
  private final ChannelGroup inboundChannels = new DefaultChannelGroup(eventLoop);
  private final ConcurrentHashMap<String, OutboundPeer> outboundPeers = new ConcurrentHashMap<>();
  private Channel server;

  /**
   * Creates a transport that is not started.
   *
   * @param self the identity that is sent as the first message on every connection
   * @param bindAddress the listen address; port 0 selects a free port
   * @param tls the key files, or empty for plain TCP
   * @param receiver called with the sender's id and each message on the transport's thread
   * @param random the source of backoff jitter; used only on the transport's thread
   * @throws IllegalArgumentException when the key files are unusable, or when there are none and
   *     {@code bindAddress} is not a loopback address and {@code allowPlaintext} is false
   */
  public PeerTransport(
      Hello self,
      InetSocketAddress bindAddress,
      Optional<PeerTls> tls,
      boolean allowPlaintext,
      PeerAddressResolver resolver,
      BiConsumer<String, PeerMessage> receiver,
      MetricRegistry registry,
      MonotonicClock clock,
      RandomGenerator random) {
    this.self = Checks.notNull(self, "self");
    this.bindAddress = Checks.notNull(bindAddress, "bindAddress");
    this.allowPlaintext = allowPlaintext;
    this.resolver = Checks.notNull(resolver, "resolver");
    this.receiver = Checks.notNull(receiver, "receiver");
    this.metrics = new PeerMetrics(Checks.notNull(registry, "registry"));
    this.clock = Checks.notNull(clock, "clock");
    this.random = Checks.notNull(random, "random");
    this.serverTls = tls.map(PeerTls::serverContext);
    this.clientTls = tls.map(PeerTls::clientContext);
    Checks.check(
        isAllowedAddress(bindAddress),
        "peer address " + bindAddress + " needs key files, a loopback address or allowPlaintext");
  }

  /**
   * Starts listening.
   *
   * @return the bound address
   * @throws IllegalStateException when the address cannot be bound
   */
  public InetSocketAddress start() {
    try {
      server =
          new ServerBootstrap()
              .group(group)
              .channel(NioServerSocketChannel.class)
              .option(ChannelOption.SO_REUSEADDR, true)
              .childOption(ChannelOption.TCP_NODELAY, true)
              .childHandler(
                  new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel socket) {
                      accept(socket);
                    }
                  })
              .bind(bindAddress)
              .syncUninterruptibly()
              .channel();
    } catch (Exception e) {
      // Netty rethrows the checked IOException of a failed bind undeclared.
      throw new IllegalStateException("cannot listen on " + bindAddress, e);
    }
    LOG.infof("peer.listening address=%s tls=%s", server.localAddress(), serverTls.isPresent());
    return (InetSocketAddress) server.localAddress();
  }

  /** Closes all connections and stops the thread. Queued messages are dropped. */
  public void stop() {
    if (server != null) {
      server.close().awaitUninterruptibly(STOP_TIMEOUT_MILLIS);
    }
    inboundChannels.close().awaitUninterruptibly(STOP_TIMEOUT_MILLIS);
    group
        .shutdownGracefully(0, STOP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        .awaitUninterruptibly(2 * STOP_TIMEOUT_MILLIS);
  }

  @Override
  public void send(String toInstanceId, PeerMessage message) {
    byte[] payload = PeerCodec.encode(message);
    if (payload.length > FrameDecoder.maxBytes(message.type())) {
      metrics.messagesDropped.inc();
      LOG.errorf("peer.message.too_large type=%s payloadBytes=%d", message.type(), payload.length);
      return;
    }
    Optional<InetSocketAddress> address =
        toInstanceId.equals(self.instanceId())
            ? Optional.empty()
            : resolver.addressOf(toInstanceId);
    if (address.isEmpty()) {
      metrics.messagesDropped.inc();
      return;
    }
    outboundPeers
        .computeIfAbsent(toInstanceId, id -> new OutboundPeer(id, this, metrics, clock))
        .send(address.get(), payload);
  }

  private void accept(SocketChannel socket) {
    if (inboundChannels.size() >= MAX_INBOUND_CONNECTIONS) {
      LOG.warnf(
          "peer.connection.refused remote=%s reason=too many inbound connections",
          socket.remoteAddress());
      var unused = socket.close();
      return;
    }
    inboundChannels.add(socket);
    serverTls.ifPresent(
        context ->
            socket.pipeline().addLast(withHandshakeTimeout(context.newHandler(socket.alloc()))));
    socket
        .pipeline()
        .addLast(new IdleStateHandler(INBOUND_IDLE_TIMEOUT_SECONDS, 0, 0))
        .addLast(new FrameDecoder(metrics))
        .addLast(new PeerHandler(self, null, metrics, () -> {}, receiver));
  }

  Hello self() {
    return self;
  }

  EventLoop eventLoop() {
    return eventLoop;
  }

  boolean isAllowedAddress(InetSocketAddress address) {
    return serverTls.isPresent()
        || allowPlaintext
        || (address.getAddress() != null && address.getAddress().isLoopbackAddress());
  }

  /** Returns the handler for an outbound connection, or null for plain TCP. */
  SslHandler newClientTls(SocketChannel socket) {
    return clientTls
        .map(context -> withHandshakeTimeout(context.newHandler(socket.alloc())))
        .orElse(null);
  }

  private static SslHandler withHandshakeTimeout(SslHandler handler) {
    handler.setHandshakeTimeoutMillis(PeerHandler.HELLO_TIMEOUT_MILLIS);
    return handler;
  }

  void execute(Runnable task) {
    try {
      eventLoop.execute(task);
    } catch (RejectedExecutionException e) {
      metrics.messagesDropped.inc();
    }
  }

  /** Runs {@code task} after {@code baseMillis} times a random factor from 0.5 to 1.5. */
  void schedule(Runnable task, long baseMillis) {
    if (eventLoop.isShuttingDown()) {
      return;
    }
    long delayMillis = baseMillis / 2 + random.nextLong(baseMillis + 1);
    var unused = eventLoop.schedule(task, delayMillis, TimeUnit.MILLISECONDS);
  }

  void remove(String peerId, OutboundPeer peer) {
    outboundPeers.remove(peerId, peer);
  }
}
