package org.buckthornferry.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.IdleStateEvent;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.function.BooleanSupplier;
import org.buckthornferry.error.ErrorKind;
import org.buckthornferry.error.RequestException;
import org.jboss.logging.Logger;

/** Channel handler that passes the requests on one connection to the handler, one at a time. */
final class ServerConnection extends SimpleChannelInboundHandler<FullHttpRequest> {
  private static final Logger LOG = Logger.getLogger(ServerConnection.class);

  /** The maximum number of queued pipelined requests; beyond it the connection is closed. */
  private static final int MAX_PIPELINED_REQUESTS = 16;

  /** User event that closes the connection if no request is in progress. */
  static final Object CLOSE_WHEN_IDLE = new Object();

  /** User event before a request whose client waits for an interim response to send the body. */
  static final Object CONTINUE_EXPECTED = new Object();

  private final HttpHandler handler;
  private final BooleanSupplier draining;
  private final Queue<HttpExchange> pipelined = new ArrayDeque<>();
  private HttpExchange current;
  private boolean isContinuePending;

  ServerConnection(HttpHandler handler, BooleanSupplier draining) {
    this.handler = handler;
    this.draining = draining;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
    isContinuePending = false;
    HttpExchange exchange =
        new HttpExchange(context.channel(), request, draining, () -> startNext(context.channel()));
    if (current == null) {
      start(exchange);
    } else if (pipelined.size() < MAX_PIPELINED_REQUESTS) {
      pipelined.add(exchange);
    } else {
      context.close();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    pipelined.clear();
    if (current != null) {
      current.connectionClosed();
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    if (current != null) {
      current.writabilityChanged();
    }
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    if (event == CONTINUE_EXPECTED) {
      isContinuePending = true;
      sendPendingContinue(context.channel());
      return;
    }
    // A request in progress has its own deadline, so the idle timeout does not apply to it.
    if ((event instanceof IdleStateEvent || event == CLOSE_WHEN_IDLE) && current == null) {
      context.close();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    if (!(cause instanceof IOException)) {
      LOG.warnf("http.connection.failed reason=%s", cause);
    }
    context.close();
  }

  private void startNext(Channel channel) {
    current = null;
    HttpExchange next = pipelined.poll();
    if (next != null) {
      start(next);
      return;
    }
    sendPendingContinue(channel);
  }

  /** Sends the interim response unless it would come within or before an earlier response. */
  private void sendPendingContinue(Channel channel) {
    if (!isContinuePending || current != null) {
      return;
    }
    isContinuePending = false;
    channel.writeAndFlush(
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE),
        channel.voidPromise());
  }

  private void start(HttpExchange exchange) {
    current = exchange;
    if (exchange.rejection().isPresent()) {
      ProblemDocument.of(exchange.rejection().get()).sendTo(exchange);
      return;
    }
    try {
      handler.handle(exchange);
    } catch (RequestException e) {
      ProblemDocument.of(e).sendTo(exchange);
    } catch (RuntimeException e) {
      LOG.errorf(e, "http.handler.failed path=%s", exchange.path());
      ProblemDocument.of(new RequestException(ErrorKind.INTERNAL, "unexpected failure"))
          .sendTo(exchange);
    }
  }
}
