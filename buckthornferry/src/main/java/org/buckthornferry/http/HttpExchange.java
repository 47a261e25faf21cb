package org.buckthornferry.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import org.buckthornferry.error.RequestException;

/**
 * A request received by an {@link HttpServer} and its response. The response methods may be called
 * from any thread: either {@link #respond} alone, or {@link #start}, {@link #write} and {@link
 * #end} in this order.
 */
public final class HttpExchange {
  /** How long the rest of a rejected request is read and discarded after the response. */
  private static final long DISCARDING_MILLIS = 1_000;

  private final Channel channel;
  private final String method;
  private final String rawUri;
  private final QueryStringDecoder uri;
  private final HttpHeaders headers;
  private final byte[] body;
  private final Optional<RequestException> rejection;
  private final boolean keepAlive;
  private final BooleanSupplier draining;
  private final Runnable onFinished;
  private volatile boolean closeAfterResponse;
  private final AtomicBoolean isFinished = new AtomicBoolean();
  private volatile Runnable closeListener = () -> {};
  private volatile Runnable writableListener = () -> {};

  HttpExchange(
      Channel channel, FullHttpRequest request, BooleanSupplier draining, Runnable onFinished) {
    this.channel = channel;
    this.method = request.method().name();
    this.rawUri = request.uri();
    this.uri = new QueryStringDecoder(rawUri);
    this.headers = request.headers();
    ByteBuf content = request.content();
    this.body = new byte[content.readableBytes()];
    content.getBytes(content.readerIndex(), body);
    this.rejection =
        Optional.ofNullable(request.decoderResult().cause()).map(RequestException.class::cast);
    this.keepAlive = rejection.isEmpty() && HttpUtil.isKeepAlive(request);
    this.draining = draining;
    this.onFinished = onFinished;
  }

  /** Returns the request method, such as {@code POST}. */
  public String method() {
    return method;
  }

  /** Returns the decoded path without the query. */
  public String path() {
    return uri.path();
  }

  /** Returns the first value of a query parameter, or empty. */
  public Optional<String> query(String name) {
    List<String> values = uri.parameters().get(name);
    return values == null ? Optional.empty() : Optional.of(values.get(0));
  }

  /** Returns the raw path and query as sent by the client. */
  public String rawUri() {
    return rawUri;
  }

  /** Returns all header fields; they must not be modified. */
  public HttpHeaders headers() {
    return headers;
  }

  /** Returns the first value of a header, or empty. */
  public Optional<String> header(String name) {
    return Optional.ofNullable(headers.get(name));
  }

  /** Returns the request body; the array must not be modified. */
  public byte[] body() {
    return body;
  }

  /** Registers the action to run if the connection closes before the response has ended. */
  public void onClose(Runnable listener) {
    closeListener = listener;
    if (!channel.isActive()) {
      connectionClosed();
    }
  }

  /** Registers the action to run when {@link #isWritable} changes. */
  public void onWritabilityChanged(Runnable listener) {
    writableListener = listener;
  }

  /** Returns whether the unsent response bytes are below the high-water mark. */
  public boolean isWritable() {
    return channel.isWritable();
  }

  /** Sends a complete response. */
  public void respond(int status, Map<String, String> responseHeaders, byte[] responseBody) {
    HttpHeaders fields = new DefaultHttpHeaders();
    responseHeaders.forEach(fields::set);
    respond(status, fields, responseBody);
  }

  /** Sends a complete response; takes ownership of the header fields and adds to them. */
  public void respond(int status, HttpHeaders responseHeaders, byte[] responseBody) {
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(status),
            Unpooled.wrappedBuffer(responseBody),
            responseHeaders,
            EmptyHttpHeaders.INSTANCE);
    response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, responseBody.length);
    finish(response);
  }

  /** Sends a complete response with a JSON body. */
  public void respondJson(int status, String json) {
    respond(
        status, Map.of("Content-Type", "application/json"), json.getBytes(StandardCharsets.UTF_8));
  }

  /** Sends the head of a chunked response. */
  public void start(int status, Map<String, String> responseHeaders) {
    HttpHeaders fields = new DefaultHttpHeaders();
    responseHeaders.forEach(fields::set);
    start(status, fields);
  }

  /** Sends the head of a chunked response; takes ownership of the header fields. */
  public void start(int status, HttpHeaders responseHeaders) {
    HttpResponse response =
        new DefaultHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), responseHeaders);
    response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    setConnectionHeader(response);
    channel.writeAndFlush(response, channel.voidPromise());
  }

  /** Sends a chunk of the body. */
  public void write(byte[] part) {
    if (part.length > 0) {
      channel.writeAndFlush(
          new DefaultHttpContent(Unpooled.wrappedBuffer(part)), channel.voidPromise());
    }
  }

  /** Ends a response started with {@link #start}. */
  public void end() {
    finish(LastHttpContent.EMPTY_LAST_CONTENT);
  }

  /** Closes the connection, so that the client sees a truncated response. */
  public void abort() {
    if (isFinished.compareAndSet(false, true)) {
      channel.close();
    }
  }

  private void finish(Object lastMessage) {
    if (!isFinished.compareAndSet(false, true)) {
      return;
    }
    if (lastMessage instanceof HttpResponse response) {
      setConnectionHeader(response);
    }
    if (!closeAfterResponse) {
      channel.writeAndFlush(lastMessage, channel.voidPromise());
      channel.eventLoop().execute(onFinished);
    } else {
      channel.writeAndFlush(lastMessage).addListener(written -> closeAfterLastResponse());
    }
  }

  /** Closes the connection; if the client may still be sending a body, first lets it finish. */
  private void closeAfterLastResponse() {
    if (rejection.isEmpty()) {
      channel.close();
      return;
    }
    // Closing with unread bytes resets the connection, and the client may lose the response.
    channel
        .eventLoop()
        .schedule((Runnable) channel::close, DISCARDING_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void setConnectionHeader(HttpResponse response) {
    closeAfterResponse = !keepAlive || draining.getAsBoolean();
    if (closeAfterResponse) {
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
  }

  /** Returns why the request is rejected without being handled, or empty. */
  Optional<RequestException> rejection() {
    return rejection;
  }

  void connectionClosed() {
    if (isFinished.compareAndSet(false, true)) {
      closeListener.run();
    }
  }

  void writabilityChanged() {
    writableListener.run();
  }
}
