package org.buckthornferry.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.agrona.collections.IntHashSet;

/** Channel handler that passes the response on one connection to the pending call. */
final class ClientConnection extends SimpleChannelInboundHandler<HttpObject> {
  /**
   * The maximum number of responses skipped for one request: interim responses and late duplicates
   * of responses to earlier requests. A server that sends more is faulty.
   */
  private static final int MAX_SKIPPED_RESPONSES = 16;

  /** The maximum size of skipped bodies for one request; a typical response is far smaller. */
  private static final long MAX_SKIPPED_BYTES = 1 << 20;

  /** The maximum number of request ids on one connection; bounds the memory for them. */
  private static final int MAX_REQUEST_IDS = 1_000;

  /**
   * How long a server that has ended its response may take to read the rest of the request, in
   * milliseconds. Servers discard the rest of a request for some seconds before they close.
   */
  private static final long END_PENDING_MILLIS = 5_000;

  private final ResponseDecoder decoder;

  /** The hashes of the ids of all requests; requests with equal ones use other connections. */
  private final IntHashSet requestIdHashes = new IntHashSet();

  private PendingCall call;

  /** The call whose response is complete, until the end of the read shows if more bytes follow. */
  private PendingCall ended;

  /** Requests of which the connection has not taken all bytes. */
  private int unwrittenRequests;

  /** Whether the server has ended the response to a request that is being written. */
  private boolean isEndPending;

  private boolean isSkipping;
  private int skippedResponses;
  private long skippedBytes;
  private long requests;

  ClientConnection(ResponseDecoder decoder) {
    this.decoder = decoder;
  }

  /** Expects the response to a call; returns the number of the call on this connection. */
  long begin(PendingCall newCall, boolean isHeadRequest) {
    requests++;
    unwrittenRequests++;
    if (!newCall.requestId().isEmpty()) {
      requestIdHashes.add(newCall.requestId().hashCode());
    }
    call = newCall;
    decoder.expectResponse(isHeadRequest);
    skippedResponses = 0;
    skippedBytes = 0;
    return requests;
  }

  /** Called when the connection has taken the whole of a request. */
  void onRequestWritten() {
    unwrittenRequests--;
    if (isEndPending && unwrittenRequests == 0) {
      isEndPending = false;
      endCall();
      finishEnded(/* isReusable= */ false);
    }
  }

  /** Returns whether a request may be sent as far as its id is concerned. */
  boolean mayCarry(String requestId) {
    return requestId.isEmpty() || !requestIdHashes.contains(requestId.hashCode());
  }

  /** Returns whether the connection may be kept for further requests. */
  boolean canCarryMore() {
    return requestIdHashes.size() < MAX_REQUEST_IDS;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
    if (call == null || message.decoderResult().isFailure()) {
      failAndClose(context, new IOException("unexpected or malformed response"));
      return;
    }
    if (message instanceof HttpResponse response) {
      isSkipping =
          response.status().codeClass() == HttpStatusClass.INFORMATIONAL
              || !call.matchesRequest(response.status().code(), response.headers());
      if (isSkipping) {
        skippedResponses++;
      } else {
        call.onHead(response.status().code(), response.headers(), HttpUtil.isKeepAlive(response));
      }
    }
    if (message instanceof HttpContent content) {
      if (isSkipping) {
        skippedBytes += content.content().readableBytes();
      } else if (content instanceof LastHttpContent && decoder.isBroken()) {
        // Without a length, only the server's close shows that the response is complete.
        failAndClose(context, new IOException("connection broken before the response ended"));
        return;
      } else {
        onContent(context, content);
      }
    }
    if (skippedResponses > MAX_SKIPPED_RESPONSES || skippedBytes > MAX_SKIPPED_BYTES) {
      failAndClose(context, new IOException("too many responses to other requests"));
    }
  }

  private void onContent(ChannelHandlerContext context, HttpContent content) {
    ByteBuf bytes = content.content();
    if (bytes.isReadable()) {
      byte[] part = new byte[bytes.readableBytes()];
      bytes.readBytes(part);
      call.onBody(part);
    }
    if (!(content instanceof LastHttpContent)) {
      return;
    }
    if (decoder.isClosedByServer() && unwrittenRequests > 0) {
      // A server that has ended its response goes on reading; a process that has ended resets the
      // connection under the rest of the request, and its response may be a part.
      isEndPending = true;
      context
          .executor()
          .schedule(() -> failPendingEnd(context), END_PENDING_MILLIS, TimeUnit.MILLISECONDS);
      return;
    }
    endCall();
  }

  private void failPendingEnd(ChannelHandlerContext context) {
    if (isEndPending) {
      failAndClose(context, new IOException("response ended, but the request is not being read"));
    }
  }

  private void endCall() {
    ended = call;
    call = null;
    decoder.expectNothing();
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    finishEnded(/* isReusable= */ !decoder.isClosedByServer());
    context.fireChannelReadComplete();
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    if (event instanceof ChannelInputShutdownEvent && !isEndPending) {
      failAndClose(context, new IOException("connection closed before the response ended"));
    }
    context.fireUserEventTriggered(event);
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    failAndClose(context, new IOException("connection closed before the response ended"));
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    failAndClose(context, cause);
  }

  private void failAndClose(ChannelHandlerContext context, Throwable cause) {
    finishEnded(/* isReusable= */ false);
    isEndPending = false;
    PendingCall failed = call;
    call = null;
    if (failed != null) {
      failed.onFailure(cause);
    }
    context.close();
  }

  private void finishEnded(boolean isReusable) {
    PendingCall finished = ended;
    ended = null;
    if (finished != null) {
      finished.onEnd(isReusable);
    }
  }
}
