package org.buckthornferry.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.ssl.SslHandler;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.handler.timeout.WriteTimeoutHandler;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import org.buckthornferry.util.MonotonicClock;
import org.jboss.logging.Logger;

/**
 * Outbound connection to one peer with its message queue. The connection is opened when a message
 * is queued and reopened with exponential, jittered backoff after a failure. All methods except
 * {@link #send} run on the transport's event loop.
 */
final class OutboundPeer {
  private static final Logger LOG = Logger.getLogger(OutboundPeer.class);

  private static final int MAX_QUEUED_FRAMES = 1_024;

  /** Room for two configuration replies of the largest size. */
  private static final long MAX_QUEUED_BYTES = 2L * PeerCodec.MAX_CONFIG_FRAME_BYTES;

  /** Older messages are obsolete; a silent member is declared dead after this time. */
  private static final long MAX_QUEUED_AGE_NANOS = TimeUnit.SECONDS.toNanos(3);

  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final int WRITE_TIMEOUT_SECONDS = 5;
  private static final int IDLE_TIMEOUT_SECONDS = 60;
  private static final long MIN_BACKOFF_MILLIS = 50;
  private static final long MAX_BACKOFF_MILLIS = 2_000;

  private enum State {
    IDLE,
    CONNECTING,
    CONNECTED,
    BACKOFF
  }

  private final String peerId;
  private final PeerTransport transport;
  private final PeerMetrics metrics;
  private final MonotonicClock clock;
  private final OutboundQueue queue =
      new OutboundQueue(MAX_QUEUED_FRAMES, MAX_QUEUED_BYTES, MAX_QUEUED_AGE_NANOS);
  private volatile InetSocketAddress address;
  private State state = State.IDLE;
  private Channel channel;
  private int consecutiveFailures;

  OutboundPeer(String peerId, PeerTransport transport, PeerMetrics metrics, MonotonicClock clock) {
    this.peerId = peerId;
    this.transport = transport;
    this.metrics = metrics;
    this.clock = clock;
  }

  /** Queues a message; may be called by any thread. */
  void send(InetSocketAddress newAddress, byte[] payload) {
    address = newAddress;
    int dropped = queue.offer(payload, clock.nanoTime());
    if (dropped > 0) {
      metrics.messagesDropped.inc(dropped);
    }
    if (queue.requestDrain()) {
      transport.execute(this::drain);
    }
  }

  private void drain() {
    queue.drainStarted();
    if (state == State.CONNECTED) {
      writeQueued();
    } else if (state == State.IDLE && !queue.isEmpty()) {
      connect();
    }
  }

  private void writeQueued() {
    boolean written = false;
    while (channel.isWritable()) {
      byte[] payload = queue.poll(clock.nanoTime());
      if (payload == null) {
        break;
      }
      int frameBytes = FrameDecoder.PREFIX_BYTES + payload.length;
      var unused =
          channel.write(
              PeerHandler.frame(channel.alloc().buffer(frameBytes), payload),
              channel.voidPromise());
      metrics.messagesSent.inc();
      metrics.bytesSent.inc(frameBytes);
      written = true;
    }
    if (written) {
      channel.flush();
    }
  }

  private void connect() {
    state = State.CONNECTING;
    InetSocketAddress target = address;
    if (!transport.isAllowedAddress(target)) {
      LOG.errorf("peer.plaintext.refused peer=%s address=%s", peerId, target);
      scheduleReconnect();
      return;
    }
    ChannelFuture connecting =
        new Bootstrap()
            .group(transport.eventLoop())
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .handler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel socket) {
                    addHandlers(socket);
                  }
                })
            .connect(target);
    channel = connecting.channel();
    var unusedClose = channel.closeFuture().addListener(closed -> onClosed());
    var unusedConnect =
        connecting.addListener(
            result -> {
              if (!result.isSuccess()) {
                metrics.connectionsFailed.inc();
                LOG.debugf(
                    "peer.connect.failed peer=%s address=%s reason=%s",
                    peerId, target, result.cause());
              }
            });
  }

  private void addHandlers(SocketChannel socket) {
    SslHandler tls = transport.newClientTls(socket);
    if (tls != null) {
      socket.pipeline().addLast(tls);
    }
    socket
        .pipeline()
        .addLast(new IdleStateHandler(0, IDLE_TIMEOUT_SECONDS, 0))
        .addLast(new WriteTimeoutHandler(WRITE_TIMEOUT_SECONDS))
        .addLast(new FrameDecoder(metrics))
        .addLast(
            new PeerHandler(
                transport.self(), peerId, metrics, this::onIdentified, (from, message) -> {}))
        .addLast(
            new ChannelInboundHandlerAdapter() {
              @Override
              public void channelWritabilityChanged(ChannelHandlerContext context) {
                if (state == State.CONNECTED && context.channel().isWritable()) {
                  writeQueued();
                }
              }
            });
  }

  private void onIdentified() {
    state = State.CONNECTED;
    consecutiveFailures = 0;
    writeQueued();
  }

  private void onClosed() {
    boolean wasConnected = state == State.CONNECTED;
    channel = null;
    if (wasConnected && queue.isEmpty()) {
      state = State.IDLE;
      transport.remove(peerId, this);
      return;
    }
    scheduleReconnect();
  }

  private void scheduleReconnect() {
    state = State.BACKOFF;
    long baseMillis =
        Math.min(MAX_BACKOFF_MILLIS, MIN_BACKOFF_MILLIS << Math.min(consecutiveFailures, 10));
    consecutiveFailures++;
    transport.schedule(
        () -> {
          state = State.IDLE;
          if (queue.isEmpty()) {
            transport.remove(peerId, this);
          } else {
            connect();
          }
        },
        baseMillis);
  }
}
