package org.buckthornferry.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;

/**
 * Channel handler that tells how the inbound direction of a client connection has ended. It stands
 * before the decoder, which reports the end of a response without a length in the same way whether
 * the server has closed the connection or the connection has broken.
 */
final class ConnectionEnd extends ChannelInboundHandlerAdapter {
  private enum State {
    OPEN,
    CLOSED_BY_SERVER,
    BROKEN
  }

  private State state = State.OPEN;

  /** Returns whether the server has closed the connection after its last byte. */
  boolean isClosedByServer() {
    return state == State.CLOSED_BY_SERVER;
  }

  /** Returns whether the connection has ended otherwise, so that bytes may be missing. */
  boolean isBroken() {
    return state == State.BROKEN;
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    if (event instanceof ChannelInputShutdownEvent) {
      end(State.CLOSED_BY_SERVER);
    }
    context.fireUserEventTriggered(event);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    end(State.BROKEN);
    context.fireExceptionCaught(cause);
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    end(State.BROKEN);
    context.fireChannelInactive();
  }

  private void end(State ended) {
    if (state == State.OPEN) {
      state = ended;
    }
  }
}
