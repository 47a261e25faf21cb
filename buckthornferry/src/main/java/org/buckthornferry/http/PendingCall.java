package org.buckthornferry.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.OptionalLong;

/** State of a request from connecting to the end of the response. */
final class PendingCall implements HttpCall {
  private enum State {
    CONNECTING,
    SENT,
    ENDED
  }

  private final FullHttpRequest request;
  private final HttpResponseListener listener;
  private final ConnectionReleaser releaser;
  private State state = State.CONNECTING;
  private boolean isReading = true;
  private Channel channel;
  private boolean isReusable;
  private OptionalLong idleTimeoutMillis = OptionalLong.empty();
  private volatile String connectionLabel = "-";

  /** Returns a connection to the pool after the response has ended. */
  @FunctionalInterface
  interface ConnectionReleaser {
    /**
     * Returns a connection to the pool.
     *
     * @param idleTimeoutMillis the server's idle timeout of the connection, if stated
     */
    void release(Channel channel, OptionalLong idleTimeoutMillis);
  }

  PendingCall(FullHttpRequest request, HttpResponseListener listener, ConnectionReleaser releaser) {
    this.request = request;
    this.listener = listener;
    this.releaser = releaser;
  }

  void onConnected(ChannelFuture connected) {
    if (connected.isSuccess()) {
      sendOn(connected.channel());
    } else if (markEnded()) {
      request.release();
      listener.onFailure(connected.cause(), false);
    }
  }

  void sendOn(Channel newChannel) {
    if (newChannel.eventLoop().inEventLoop()) {
      sendOnEventLoop(newChannel);
    } else {
      newChannel.eventLoop().execute(() -> sendOnEventLoop(newChannel));
    }
  }

  private void sendOnEventLoop(Channel newChannel) {
    synchronized (this) {
      if (state == State.ENDED) {
        request.release();
        releaser.release(newChannel, OptionalLong.empty());
        return;
      }
      channel = newChannel;
      if (channel.isActive()) {
        state = State.SENT;
      }
    }
    if (!newChannel.isActive()) {
      markEnded();
      request.release();
      listener.onFailure(new IOException("connection closed before the request was sent"), false);
      return;
    }
    if (!listener.maySend()) {
      boolean isFirst = markEnded();
      request.release();
      releaser.release(newChannel, OptionalLong.empty());
      if (isFirst) {
        listener.onFailure(new IOException("the request may no longer be sent"), false);
      }
      return;
    }
    ClientConnection connection = newChannel.pipeline().get(ClientConnection.class);
    long number = connection.begin(this, request.method().equals(HttpMethod.HEAD));
    connectionLabel = ((InetSocketAddress) newChannel.localAddress()).getPort() + "#" + number;
    newChannel.config().setAutoRead(isReading);
    newChannel
        .writeAndFlush(request)
        .addListener(
            (ChannelFuture written) -> {
              if (written.isSuccess()) {
                connection.onRequestWritten();
              } else {
                newChannel.pipeline().fireExceptionCaught(written.cause());
              }
            });
  }

  String requestId() {
    return listener.requestId();
  }

  boolean matchesRequest(int status, HttpHeaders headers) {
    return listener.matchesRequest(status, headers);
  }

  void onHead(int status, HttpHeaders headers, boolean keepAlive) {
    isReusable = keepAlive;
    idleTimeoutMillis = KeepAliveHeader.timeoutMillis(headers);
    if (isActive()) {
      listener.onHead(status, headers);
    }
  }

  void onBody(byte[] part) {
    if (isActive()) {
      listener.onBody(part);
    }
  }

  void onEnd(boolean isConnectionReusable) {
    if (!markEnded()) {
      return;
    }
    if (isReusable && isConnectionReusable) {
      channel.config().setAutoRead(true);
      releaser.release(channel, idleTimeoutMillis);
    } else {
      channel.close();
    }
    listener.onEnd();
  }

  void onFailure(Throwable cause) {
    if (markEnded()) {
      listener.onFailure(cause, true);
    }
  }

  @Override
  public void cancel() {
    Channel cancelled;
    synchronized (this) {
      cancelled = state == State.SENT ? channel : null;
      state = State.ENDED;
    }
    if (cancelled != null) {
      cancelled.close();
    }
  }

  @Override
  public synchronized void setReading(boolean newReading) {
    isReading = newReading;
    if (state == State.SENT) {
      channel.config().setAutoRead(newReading);
    }
  }

  @Override
  public String connectionLabel() {
    return connectionLabel;
  }

  private synchronized boolean isActive() {
    return state == State.SENT;
  }

  private synchronized boolean markEnded() {
    boolean first = state != State.ENDED;
    state = State.ENDED;
    return first;
  }
}
