package org.buckthornferry.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.Optional;
import org.buckthornferry.error.ErrorKind;
import org.buckthornferry.error.RequestException;

/**
 * Channel handler that joins the parts of requests and passes on each request with its whole body.
 * A request whose body is not read to its end is passed on with a {@link RequestException} as the
 * cause of its decoder result, and is the last one of its connection: what follows its head may
 * look like a request but is, or may be, a part of its body.
 */
final class RequestAssembler extends SimpleChannelInboundHandler<HttpObject> {
  /** The parts of a body that are kept apart; beyond it they are copied into one buffer. */
  private static final int MAX_BODY_PARTS = 1_024;

  private enum State {
    AWAITING_HEAD,
    READING_BODY,
    DISCARDING
  }

  private final int maxBodyBytes;
  private State state = State.AWAITING_HEAD;
  private HttpRequest head;
  private CompositeByteBuf body;

  RequestAssembler(int maxBodyBytes) {
    this.maxBodyBytes = maxBodyBytes;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
    if (message instanceof HttpRequest newHead && state == State.AWAITING_HEAD) {
      onHead(context, newHead);
    }
    if (message instanceof HttpContent content && state == State.READING_BODY) {
      onContent(context, content);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    releaseBody();
    context.fireChannelInactive();
  }

  @Override
  public void handlerRemoved(ChannelHandlerContext context) {
    releaseBody();
  }

  private void onHead(ChannelHandlerContext context, HttpRequest newHead) {
    head = newHead;
    if (newHead.decoderResult().isFailure()) {
      reject(context, malformed(newHead.decoderResult()));
      return;
    }
    Optional<RequestException> rejection = RequestFraming.rejection(newHead, maxBodyBytes);
    if (rejection.isPresent()) {
      reject(context, rejection.get());
      return;
    }
    state = State.READING_BODY;
    boolean expectsContinue = RequestFraming.expectsContinue(newHead);
    newHead.headers().remove(HttpHeaderNames.EXPECT);
    if (expectsContinue) {
      context.fireUserEventTriggered(ServerConnection.CONTINUE_EXPECTED);
    }
  }

  private void onContent(ChannelHandlerContext context, HttpContent content) {
    if (content.decoderResult().isFailure()) {
      reject(context, malformed(content.decoderResult()));
      return;
    }
    ByteBuf part = content.content();
    int receivedBytes = body == null ? 0 : body.readableBytes();
    if (part.readableBytes() > maxBodyBytes - receivedBytes) {
      reject(context, RequestFraming.tooLarge(maxBodyBytes));
      return;
    }
    if (part.isReadable()) {
      if (body == null) {
        body = context.alloc().compositeBuffer(MAX_BODY_PARTS);
      }
      body.addComponent(/* increaseWriterIndex= */ true, part.retain());
    }
    if (content instanceof LastHttpContent) {
      state = State.AWAITING_HEAD;
      context.fireChannelRead(takeRequest());
    }
  }

  private void reject(ChannelHandlerContext context, RequestException reason) {
    state = State.DISCARDING;
    releaseBody();
    DefaultFullHttpRequest rejected = takeRequest();
    rejected.setDecoderResult(DecoderResult.failure(reason));
    context.fireChannelRead(rejected);
  }

  private DefaultFullHttpRequest takeRequest() {
    DefaultFullHttpRequest request =
        new DefaultFullHttpRequest(
            head.protocolVersion(),
            head.method(),
            head.uri(),
            body == null ? Unpooled.EMPTY_BUFFER : body,
            head.headers(),
            EmptyHttpHeaders.INSTANCE);
    head = null;
    body = null;
    return request;
  }

  private void releaseBody() {
    if (body != null) {
      body.release();
      body = null;
    }
  }

  private static RequestException malformed(DecoderResult result) {
    return new RequestException(
        ErrorKind.BAD_REQUEST, "malformed HTTP: " + result.cause().getMessage());
  }
}
