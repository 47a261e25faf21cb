package org.buckthornferry.fleet;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
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
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.buckthornferry.store.PrefixFollower;
import org.buckthornferry.util.Scheduler;
import org.jboss.logging.Logger;

/**
 * Gives instances that the store turns away the copies of others. An instance asks one other at a
 * time, and only while its own calls fail; the reply comes on the connection of the request, so
 * that an instance that has just started needs to be known to nobody.
 */
public final class ViewExchange {
  private static final Logger LOG = Logger.getLogger(ViewExchange.class);

  /** How often an instance asks while the store turns it away, in milliseconds. */
  private static final long ASK_MILLIS = 400;

  /** How long a connection or a reply may take, in milliseconds. */
  private static final int TIMEOUT_MILLIS = 800;

  /** The largest message, in bytes: several of the largest configurations. */
  private static final int MAX_MESSAGE_BYTES = 8 << 20;

  private static final int LENGTH_BYTES = 4;

  private final InetSocketAddress address;
  private final EventLoopGroup eventLoops;
  private final List<PrefixFollower> followers;
  private final Supplier<List<InetSocketAddress>> others;
  private final Scheduler scheduler;
  private final RandomGenerator random;
  private Channel server;
  private boolean stopped;

  /**
   * Creates an exchange that neither listens nor asks.
   *
   * @param others where other instances listen
   */
  public ViewExchange(
      InetSocketAddress address,
      EventLoopGroup eventLoops,
      DeploymentController deployment,
      Supplier<List<InetSocketAddress>> others,
      Scheduler scheduler,
      RandomGenerator random) {
    this.address = address;
    this.eventLoops = eventLoops;
    this.followers = deployment.followers();
    this.others = others;
    this.scheduler = scheduler;
    this.random = random;
  }

  /** Starts to listen and, while the store is unreachable, to ask; runs on the event loop. */
  public void start() {
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
                  } else {
                    LOG.errorf("view.listen_failed address=%s reason=%s", address, bound.cause());
                  }
                });
    scheduler.schedule(this::ask, ASK_MILLIS);
  }

  /** Stops to listen and to ask. */
  public void stop() {
    stopped = true;
    if (server != null) {
      server.close();
    }
  }

  private void ask() {
    if (stopped) {
      return;
    }
    scheduler.schedule(this::ask, ASK_MILLIS);
    boolean isCutOff = followers.stream().anyMatch(follower -> !follower.isReachable());
    List<InetSocketAddress> candidates = isCutOff ? others.get() : List.of();
    if (candidates.isEmpty()) {
      return;
    }
    InetSocketAddress other = candidates.get(random.nextInt(candidates.size()));
    new Bootstrap()
        .group(eventLoops)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, TIMEOUT_MILLIS)
        .handler(pipeline(Client::new))
        .connect(other)
        .addListener(
            (ChannelFutureListener)
                connected -> {
                  if (!connected.isSuccess()) {
                    LOG.infof("view.unreachable address=%s reason=%s", other, connected.cause());
                  }
                });
  }

  private static ChannelInitializer<SocketChannel> pipeline(
      Supplier<SimpleChannelInboundHandler<ByteBuf>> handler) {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(SocketChannel channel) {
        channel
            .pipeline()
            .addLast(new ReadTimeoutHandler(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS))
            .addLast(
                new LengthFieldBasedFrameDecoder(
                    MAX_MESSAGE_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
            .addLast(new LengthFieldPrepender(LENGTH_BYTES))
            .addLast(handler.get());
      }
    };
  }

  private List<ViewMessages.Copy> newerThan(Map<String, Long> revisions) {
    List<ViewMessages.Copy> newer = new ArrayList<>();
    for (PrefixFollower follower : followers) {
      if (follower.revision() > revisions.getOrDefault(follower.prefix(), 0L)) {
        newer.add(
            new ViewMessages.Copy(
                follower.prefix(), follower.revision(), List.copyOf(follower.items())));
      }
    }
    return newer;
  }

  private void adopt(List<ViewMessages.Copy> copies, Object from) {
    for (ViewMessages.Copy copy : copies) {
      for (PrefixFollower follower : followers) {
        boolean isNewer =
            follower.prefix().equals(copy.prefix())
                && !follower.isReachable()
                && follower.adopt(copy.revision(), copy.items());
        if (isNewer) {
          LOG.infof(
              "view.adopted prefix=%s revision=%d from=%s", copy.prefix(), copy.revision(), from);
        }
      }
    }
  }

  private abstract static class Handler extends SimpleChannelInboundHandler<ByteBuf> {
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      LOG.infof(
          "view.connection_failed remote=%s reason=%s", context.channel().remoteAddress(), cause);
      context.close();
    }
  }

  private final class Server extends Handler {
    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf message) throws IOException {
      Map<String, Long> revisions = ViewMessages.decodeRequest(ByteBufUtil.getBytes(message));
      context
          .writeAndFlush(Unpooled.wrappedBuffer(ViewMessages.encodeReply(newerThan(revisions))))
          .addListener(ChannelFutureListener.CLOSE);
    }
  }

  private final class Client extends Handler {
    @Override
    public void channelActive(ChannelHandlerContext context) {
      Map<String, Long> revisions = new LinkedHashMap<>();
      followers.forEach(follower -> revisions.put(follower.prefix(), follower.revision()));
      context.writeAndFlush(Unpooled.wrappedBuffer(ViewMessages.encodeRequest(revisions)));
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf message) throws IOException {
      adopt(
          ViewMessages.decodeReply(ByteBufUtil.getBytes(message)),
          context.channel().remoteAddress());
      context.close();
    }
  }
}
