package org.buckthornferry.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Decodes the responses on a client connection, and rejects what belongs to none: bytes that arrive
 * while no request waits for a response, heads without a valid status, and heads that a fragment of
 * an earlier response has been joined to. Also tells how the inbound direction has ended, since the
 * end of a response without a length looks the same whether the server has closed the connection or
 * the connection has broken.
 */
final class ResponseDecoder extends HttpResponseDecoder {
  private static final String STATUS_LINE_START = "HTTP/";

  private static final String JOINED_HEADS = "a status line within the head of another response";

  /** The status line of a response that follows an unfinished line. */
  private static final Pattern STATUS_LINE =
      Pattern.compile(STATUS_LINE_START + "\\d\\.\\d \\d{3}");

  /** An interim status other than 101, which no request asks for, or a final one. */
  private static final Pattern STATUS = Pattern.compile("1(?!01)\\d\\d|[2-5]\\d\\d");

  private static final Pattern VERSION = Pattern.compile(STATUS_LINE_START + "1\\.[01]");

  private enum State {
    OPEN,
    CLOSED_BY_SERVER,
    BROKEN
  }

  private State state = State.OPEN;
  private boolean isAwaiting;
  private boolean isForHead;

  /** Expects the response to a request that is about to be sent. */
  void expectResponse(boolean isHeadRequest) {
    isAwaiting = true;
    isForHead = isHeadRequest;
  }

  /** Expects no further bytes until the next request. */
  void expectNothing() {
    isAwaiting = false;
  }

  /** Returns whether the server has closed the connection after its last byte. */
  boolean isClosedByServer() {
    return state == State.CLOSED_BY_SERVER;
  }

  /** Returns whether the connection has ended otherwise, so that bytes may be missing. */
  boolean isBroken() {
    return state == State.BROKEN;
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out)
      throws Exception {
    if (isAwaiting) {
      super.decode(context, in, out);
      return;
    }
    int count = in.readableBytes();
    in.skipBytes(count);
    if (state == State.OPEN) {
      state = State.BROKEN;
      context.fireExceptionCaught(new IOException(count + " bytes that belong to no response"));
    }
  }

  /** Creates the head; Netty takes any integer for a status, as 000, 1000 and +200. */
  @Override
  protected HttpMessage createMessage(String[] statusLine) {
    boolean isValid =
        VERSION.matcher(statusLine[0]).matches() && STATUS.matcher(statusLine[1]).matches();
    check(isValid, "no valid version and status");
    return super.createMessage(statusLine);
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    if (message instanceof HttpResponse response) {
      checkHead(response);
    }
    return isForHead || super.isContentAlwaysEmpty(message);
  }

  private static void checkHead(HttpResponse response) {
    checkLine(response.status().reasonPhrase());
    for (Map.Entry<String, String> field : response.headers()) {
      checkLine(field.getValue());
      // The decoder takes a status line for a field whose name ends at the first space.
      check(!field.getKey().contains(STATUS_LINE_START), JOINED_HEADS);
    }
  }

  private static void checkLine(String text) {
    check(!text.contains(STATUS_LINE_START) || !STATUS_LINE.matcher(text).find(), JOINED_HEADS);
  }

  private static void check(boolean isSound, String fault) {
    if (!isSound) {
      throw new IllegalArgumentException(fault);
    }
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
    if (event instanceof ChannelInputShutdownEvent) {
      end(State.CLOSED_BY_SERVER);
    }
    super.userEventTriggered(context, event);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) throws Exception {
    end(State.BROKEN);
    super.exceptionCaught(context, cause);
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) throws Exception {
    end(State.BROKEN);
    super.channelInactive(context);
  }

  private void end(State ended) {
    if (state == State.OPEN) {
      state = ended;
    }
  }
}
