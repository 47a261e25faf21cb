package org.buckthornferry.fleet;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;
import org.buckthornferry.util.Completions;
import org.buckthornferry.util.Scheduler;
import org.jboss.logging.Logger;

/**
 * Calls between instances over persistent TCP connections. A reply travels on the connection of its
 * call, in call order, so that a newly started instance can call peers that do not know it yet.
 * Runs on one event loop.
 */
public final class PeerRpc implements PeerCaller {
  private static final Logger LOG = Logger.getLogger(PeerRpc.class);

  /** Connect timeout, in milliseconds; the network is assumed to be local. */
  private static final int CONNECT_TIMEOUT_MILLIS = 400;

  /**
   * Time without calls after which the server closes a connection, in seconds; the peer may be
   * gone.
   */
  private static final int IDLE_TIMEOUT_SECONDS = 300;

  /** Maximum message size, in bytes; fits several configurations of the largest size. */
  private static final int MAX_MESSAGE_BYTES = 8 << 20;

  private static final int LENGTH_FIELD_BYTES = 4;

  private final InetSocketAddress address;
  private final EventLoopGroup eventLoops;
  private final Scheduler scheduler;
  private final Map<PeerMessageKind, AsyncHandler> handlers = new EnumMap<>(PeerMessageKind.class);
  private final Map<ConnectionKey, Connection> connections = new HashMap<>();
  private Channel server;
  private boolean stopped;

  private record ConnectionKey(InetSocketAddress address, PeerMessageKind.Lane lane) {}

  /** Creates the peer calls of an instance, which listens once started. */
  public PeerRpc(InetSocketAddress address, EventLoopGroup eventLoops, Scheduler scheduler) {
    this.address = address;
    this.eventLoops = eventLoops;
    this.scheduler = scheduler;
  }

  /** Sets the handler for calls of a kind. Must be called before {@link #start}. */
  public void addHandler(PeerMessageKind kind, Handler handler) {
    handlers.put(kind, message -> CompletableFuture.completedFuture(handler.handle(message)));
  }

  /**
   * Sets the handler for calls of a kind with deferred replies. Must be called before {@link
   * #start}.
   */
  public void addAsyncHandler(PeerMessageKind kind, AsyncHandler handler) {
    handlers.put(kind, handler);
  }

  /** Starts listening; fails if the address cannot be bound. */
  public CompletableFuture<Void> start() {
    CompletableFuture<Void> started = new CompletableFuture<>();
    new ServerBootstrap()
        .group(eventLoops)
        .channel(NioServerSocketChannel.class)
        .childHandler(pipeline(ServerHandler::new))
        .bind(address)
        .addListener(
            (ChannelFutureListener)
                bound -> {
                  if (bound.isSuccess()) {
                    server = bound.channel();
                    started.complete(null);
                  } else {
                    started.completeExceptionally(bound.cause());
                  }
                });
    return started;
  }

  /** Stops listening and fails the pending calls. */
  public void stop() {
    stopped = true;
    if (server != null) {
      server.close();
    }
    for (Connection connection : List.copyOf(connections.values())) {
      connection.close(new IOException("this instance is stopping"));
    }
  }

  @Override
  public CompletableFuture<byte[]> call(
      InetSocketAddress other, PeerMessageKind kind, byte[] message, long timeoutMillis) {
    if (stopped) {
      return CompletableFuture.failedFuture(new IOException("this instance is stopping"));
    }
    Connection connection =
        connections.computeIfAbsent(new ConnectionKey(other, kind.lane()), Connection::new);
    return connection.call(kind, message, timeoutMillis);
  }

  private static ChannelInitializer<SocketChannel> pipeline(
      Supplier<SimpleChannelInboundHandler<ByteBuf>> handler) {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(SocketChannel channel) {
        channel
            .pipeline()
            .addLast(
                new LengthFieldBasedFrameDecoder(
                    MAX_MESSAGE_BYTES, 0, LENGTH_FIELD_BYTES, 0, LENGTH_FIELD_BYTES))
            .addLast(new LengthFieldPrepender(LENGTH_FIELD_BYTES))
            .addLast(handler.get());
      }
    };
  }

  private static ByteBuf frame(PeerMessageKind kind, byte[] message) {
    return Unpooled.wrappedBuffer(new byte[] {kind.code()}, message);
  }

  /** Serves the calls on one inbound connection. */
  private final class ServerHandler extends SimpleChannelInboundHandler<ByteBuf> {
    @Override
    public void handlerAdded(ChannelHandlerContext context) {
      context.pipeline().addFirst(new ReadTimeoutHandler(IDLE_TIMEOUT_SECONDS));
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) throws IOException {
      PeerMessageKind kind = PeerMessageKind.ofCode(frame.readByte());
      AsyncHandler handler = handlers.get(kind);
      if (handler == null) {
        throw new IOException("no handler for calls of kind " + kind);
      }
      Completions.onComplete(
          handler.handle(ByteBufUtil.getBytes(frame)),
          (reply, failure) -> {
            if (failure == null) {
              context.writeAndFlush(frame(kind, reply));
            } else {
              exceptionCaught(context, failure);
            }
          });
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      LOG.infof("peer.call_rejected remote=%s reason=%s", context.channel().remoteAddress(), cause);
      context.close();
    }
  }

  /** Persistent connection to one peer. */
  private final class Connection {
    private final ConnectionKey key;
    private final Queue<PendingCall> pendingCalls = new ArrayDeque<>();
    private final Channel channel;
    private boolean isClosed;

    private Connection(ConnectionKey key) {
      this.key = key;
      this.channel =
          new Bootstrap()
              .group(eventLoops)
              .channel(NioSocketChannel.class)
              .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
              .option(ChannelOption.TCP_NODELAY, true)
              .handler(pipeline(() -> new ClientHandler(this)))
              .connect(key.address)
              .addListener((ChannelFutureListener) this::onConnected)
              .channel();
    }

    private void onConnected(ChannelFuture connected) {
      if (!connected.isSuccess()) {
        close(connected.cause());
        return;
      }
      for (PendingCall call : pendingCalls) {
        connected.channel().write(frame(call.kind, call.message));
      }
      connected.channel().flush();
    }

    private CompletableFuture<byte[]> call(
        PeerMessageKind kind, byte[] message, long timeoutMillis) {
      PendingCall call = new PendingCall(kind, message);
      pendingCalls.add(call);
      // A connection without a reply in time may be dead, so it is closed with all its calls.
      call.timeout =
          scheduler.schedule(
              () -> close(new TimeoutException("no reply within " + timeoutMillis + " ms")),
              timeoutMillis);
      if (channel.isActive()) {
        channel.writeAndFlush(frame(kind, message));
      }
      return call.reply;
    }

    private void onReply(ByteBuf frame) throws IOException {
      PendingCall call = pendingCalls.poll();
      if (call == null || frame.readByte() != call.kind.code()) {
        throw new IOException("reply does not match the oldest pending call");
      }
      call.timeout.cancel();
      call.reply.complete(ByteBufUtil.getBytes(frame));
    }

    private void close(Throwable cause) {
      if (isClosed) {
        return;
      }
      isClosed = true;
      connections.remove(key, this);
      channel.close();
      for (PendingCall call : List.copyOf(pendingCalls)) {
        call.timeout.cancel();
        call.reply.completeExceptionally(cause);
      }
    }
  }

  private static final class PendingCall {
    private final PeerMessageKind kind;
    private final byte[] message;
    private final CompletableFuture<byte[]> reply = new CompletableFuture<>();
    private Scheduler.Task timeout = Scheduler.Task.NONE;

    private PendingCall(PeerMessageKind kind, byte[] message) {
      this.kind = kind;
      this.message = message;
    }
  }

  private static final class ClientHandler extends SimpleChannelInboundHandler<ByteBuf> {
    private final Connection connection;

    private ClientHandler(Connection connection) {
      this.connection = connection;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) throws IOException {
      connection.onReply(frame);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      connection.close(new IOException("the peer closed the connection"));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      connection.close(cause);
    }
  }
}
