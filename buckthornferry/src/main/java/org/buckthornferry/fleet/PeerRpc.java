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
 * Calls between instances over kept TCP connections. Replies come in the order of the calls, on the
 * connection of the call, so that an instance that has just started needs to be known to nobody.
 * Everything runs on one event loop.
 */
public final class PeerRpc implements PeerCaller {
  private static final Logger LOG = Logger.getLogger(PeerRpc.class);

  /** How long a connection may take to be established, in milliseconds; networks are local. */
  private static final int CONNECT_TIMEOUT_MILLIS = 400;

  /** When a connection without calls is closed, in seconds; its other end may be gone. */
  private static final int IDLE_SECONDS = 300;

  /** The largest message, in bytes: several of the largest configurations. */
  private static final int MAX_MESSAGE_BYTES = 8 << 20;

  private static final int LENGTH_BYTES = 4;

  private final InetSocketAddress address;
  private final EventLoopGroup eventLoops;
  private final Scheduler scheduler;
  private final Map<PeerMessageKind, AsyncHandler> responders =
      new EnumMap<>(PeerMessageKind.class);
  private final Map<Target, Connection> connections = new HashMap<>();
  private Channel server;
  private boolean stopped;

  /** Replies come in the order of the calls, so one that is held would keep others waiting. */
  private record Target(InetSocketAddress address, boolean isHeld) {}

  /** Creates the calls of an instance that does not listen yet. */
  public PeerRpc(InetSocketAddress address, EventLoopGroup eventLoops, Scheduler scheduler) {
    this.address = address;
    this.eventLoops = eventLoops;
    this.scheduler = scheduler;
  }

  /** Sets what answers calls of a kind; to be done before {@link #start}. */
  public void addHandler(PeerMessageKind kind, Handler responder) {
    responders.put(kind, message -> CompletableFuture.completedFuture(responder.handle(message)));
  }

  /** Sets what answers calls of a kind whose replies are held; to be done before {@link #start}. */
  public void addAsyncHandler(PeerMessageKind kind, AsyncHandler responder) {
    responders.put(kind, responder);
  }

  /** Starts to listen; fails when the address cannot be bound. */
  public CompletableFuture<Void> start() {
    CompletableFuture<Void> started = new CompletableFuture<>();
    new ServerBootstrap()
        .group(eventLoops)
        .channel(NioServerSocketChannel.class)
        .childHandler(pipeline(Server::new))
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

  /** Stops to listen and fails the calls that have no reply. */
  public void stop() {
    stopped = true;
    if (server != null) {
      server.close();
    }
    for (Connection connection : List.copyOf(connections.values())) {
      connection.close(new IOException("the instance stops"));
    }
  }

  @Override
  public CompletableFuture<byte[]> call(
      InetSocketAddress other, PeerMessageKind kind, byte[] message, long timeoutMillis) {
    if (stopped) {
      return CompletableFuture.failedFuture(new IOException("the instance stops"));
    }
    Connection connection =
        connections.computeIfAbsent(new Target(other, kind.isHeld()), Connection::new);
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
                    MAX_MESSAGE_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
            .addLast(new LengthFieldPrepender(LENGTH_BYTES))
            .addLast(handler.get());
      }
    };
  }

  private static ByteBuf frame(PeerMessageKind kind, byte[] message) {
    return Unpooled.wrappedBuffer(new byte[] {kind.code()}, message);
  }

  /** Answers the calls of one other instance. */
  private final class Server extends SimpleChannelInboundHandler<ByteBuf> {
    @Override
    public void handlerAdded(ChannelHandlerContext context) {
      context.pipeline().addFirst(new ReadTimeoutHandler(IDLE_SECONDS));
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) throws IOException {
      PeerMessageKind kind = PeerMessageKind.ofCode(frame.readByte());
      AsyncHandler responder = responders.get(kind);
      if (responder == null) {
        throw new IOException("nothing answers calls of kind " + kind);
      }
      Completions.onComplete(
          responder.handle(ByteBufUtil.getBytes(frame)),
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

  /** A kept connection to one other instance. */
  private final class Connection {
    private final Target target;
    private final Queue<Call> calls = new ArrayDeque<>();
    private final Channel channel;
    private boolean isClosed;

    private Connection(Target target) {
      this.target = target;
      this.channel =
          new Bootstrap()
              .group(eventLoops)
              .channel(NioSocketChannel.class)
              .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
              .option(ChannelOption.TCP_NODELAY, true)
              .handler(pipeline(() -> new Client(this)))
              .connect(target.address)
              .addListener((ChannelFutureListener) this::onConnected)
              .channel();
    }

    private void onConnected(ChannelFuture connected) {
      if (!connected.isSuccess()) {
        close(connected.cause());
        return;
      }
      for (Call call : calls) {
        connected.channel().write(frame(call.kind, call.message));
      }
      connected.channel().flush();
    }

    private CompletableFuture<byte[]> call(
        PeerMessageKind kind, byte[] message, long timeoutMillis) {
      Call call = new Call(kind, message);
      calls.add(call);
      // A connection that does not answer in time may have gone silent for good.
      call.timeout =
          scheduler.schedule(
              () -> close(new TimeoutException("no reply in " + timeoutMillis + " ms")),
              timeoutMillis);
      if (channel.isActive()) {
        channel.writeAndFlush(frame(kind, message));
      }
      return call.reply;
    }

    private void onReply(ByteBuf frame) throws IOException {
      Call call = calls.poll();
      if (call == null || frame.readByte() != call.kind.code()) {
        throw new IOException("a reply to no call");
      }
      call.timeout.cancel();
      call.reply.complete(ByteBufUtil.getBytes(frame));
    }

    private void close(Throwable cause) {
      if (isClosed) {
        return;
      }
      isClosed = true;
      connections.remove(target, this);
      channel.close();
      for (Call call : List.copyOf(calls)) {
        call.timeout.cancel();
        call.reply.completeExceptionally(cause);
      }
    }
  }

  private static final class Call {
    private final PeerMessageKind kind;
    private final byte[] message;
    private final CompletableFuture<byte[]> reply = new CompletableFuture<>();
    private Scheduler.Task timeout = Scheduler.Task.NONE;

    private Call(PeerMessageKind kind, byte[] message) {
      this.kind = kind;
      this.message = message;
    }
  }

  private static final class Client extends SimpleChannelInboundHandler<ByteBuf> {
    private final Connection connection;

    private Client(Connection connection) {
      this.connection = connection;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) throws IOException {
      connection.onReply(frame);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      connection.close(new IOException("the other instance closed the connection"));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      connection.close(cause);
    }
  }
}
