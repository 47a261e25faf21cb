package org.buckthornferry.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.IOException;
import java.util.OptionalLong;

/** A request from its connect to the end of its response. */
final class PendingCall implements HttpCall {
  private enum State {
    CONNECTING,
    SENT,
    ENDED
  }

  private final FullHttpRequest request;
  private final HttpResponseListener listener;
  private final KeepConnection keep;
  private State state = State.CONNECTING;
  private boolean reading = true;
  private Channel channel;
  private boolean reusable;
  private OptionalLong idleLimitMillis = OptionalLong.empty();

  /** Takes a connection back after its response has ended. */
  @FunctionalInterface
  interface KeepConnection {
    /**
     * Keeps a connection.
     *
     * @param idleLimitMillis how long the server leaves it open, if it has said so
     */
    void keep(Channel channel, OptionalLong idleLimitMillis);
  }

  PendingCall(FullHttpRequest request, HttpResponseListener listener, KeepConnection keep) {
    this.request = request;
    this.listener = listener;
    this.keep = keep;
  }

  void onConnected(ChannelFuture connected) {
    if (connected.isSuccess()) {
      sendOn(connected.channel());
    } else if (end()) {
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
        keep.keep(newChannel, OptionalLong.empty());
        return;
      }
      channel = newChannel;
      if (channel.isActive()) {
        state = State.SENT;
      }
    }
    if (!newChannel.isActive()) {
      end();
      request.release();
      listener.onFailure(new IOException("connection closed before the request was sent"), false);
      return;
    }
    newChannel.pipeline().get(ClientConnection.class).begin(this);
    newChannel.config().setAutoRead(reading);
    newChannel.writeAndFlush(request);
  }

  boolean isOwnResponse(int status, HttpHeaders headers) {
    return listener.isOwnResponse(status, headers);
  }

  void onHead(int status, HttpHeaders headers, boolean keepAlive) {
    reusable = keepAlive;
    idleLimitMillis = KeepAliveHeader.timeoutMillis(headers);
    if (isActive()) {
      listener.onHead(status, headers);
    }
  }

  void onBody(byte[] part) {
    if (isActive()) {
      listener.onBody(part);
    }
  }

  void onEnd() {
    if (!end()) {
      return;
    }
    if (reusable) {
      channel.config().setAutoRead(true);
      keep.keep(channel, idleLimitMillis);
    } else {
      channel.close();
    }
    listener.onEnd();
  }

  void onFailure(Throwable cause) {
    if (end()) {
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
    reading = newReading;
    if (state == State.SENT) {
      channel.config().setAutoRead(newReading);
    }
  }

  private synchronized boolean isActive() {
    return state == State.SENT;
  }

  private synchronized boolean end() {
    boolean first = state != State.ENDED;
    state = State.ENDED;
    return first;
  }
}
