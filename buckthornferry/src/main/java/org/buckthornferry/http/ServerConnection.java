package org.buckthornferry.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.timeout.IdleStateEvent;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.function.BooleanSupplier;
import org.buckthornferry.error.ErrorKind;
import org.buckthornferry.error.RequestException;
import org.jboss.logging.Logger;

/** Hands the requests of one connection to the handler, one after the other. */
final class ServerConnection extends SimpleChannelInboundHandler<FullHttpRequest> {
  private static final Logger LOG = Logger.getLogger(ServerConnection.class);

  /** A client that pipelines more requests than this is disconnected. */
  private static final int MAX_PIPELINED = 16;

  /** Asks the connection to close as soon as it waits for a request. */
  static final Object CLOSE_WHEN_IDLE = new Object();

  private final HttpHandler handler;
  private final BooleanSupplier draining;
  private final Queue<HttpExchange> waiting = new ArrayDeque<>();
  private HttpExchange current;

  ServerConnection(HttpHandler handler, BooleanSupplier draining) {
    this.handler = handler;
    this.draining = draining;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
    HttpExchange exchange = new HttpExchange(context.channel(), request, draining, this::startNext);
    if (request.decoderResult().isFailure()) {
      refuseMalformed(context, exchange, request.decoderResult().cause());
      return;
    }
    if (current == null) {
      start(exchange);
    } else if (waiting.size() < MAX_PIPELINED) {
      waiting.add(exchange);
    } else {
      context.close();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    waiting.clear();
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
    // A request in progress has its own deadline, also when neither side sends anything.
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

  private void refuseMalformed(
      ChannelHandlerContext context, HttpExchange exchange, Throwable cause) {
    ProblemDocument.of(
            new RequestException(ErrorKind.BAD_REQUEST, "malformed HTTP: " + cause.getMessage()))
        .sendTo(exchange);
    // What follows on the connection cannot be told apart from the malformed request.
    context.close();
  }

  private void startNext() {
    current = null;
    HttpExchange next = waiting.poll();
    if (next != null) {
      start(next);
    }
  }

  private void start(HttpExchange exchange) {
    current = exchange;
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
