package org.buckthornferry.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.buckthornferry.error.ErrorKind;
import org.buckthornferry.error.RequestException;

/** Aggregates request bodies and rejects those above the limit with a problem document. */
final class LimitedBodyAggregator extends HttpObjectAggregator {
  private final int maxBodyBytes;

  LimitedBodyAggregator(int maxBodyBytes) {
    super(maxBodyBytes);
    this.maxBodyBytes = maxBodyBytes;
  }

  @Override
  protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
    ProblemDocument problem =
        ProblemDocument.of(
            new RequestException(
                ErrorKind.BODY_TOO_LARGE, "the body exceeds " + maxBodyBytes + " bytes"));
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(problem.status()),
            Unpooled.wrappedBuffer(problem.body()));
    problem.headers().forEach(response.headers()::set);
    response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, problem.body().length);
    response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
  }
}
