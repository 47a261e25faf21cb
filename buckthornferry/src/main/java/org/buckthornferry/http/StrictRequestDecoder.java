package org.buckthornferry.http;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Decodes requests and rejects those with ambiguous body lengths, to prevent HTTP request
 * smuggling.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {
  StrictRequestDecoder(int maxHeaderBytes) {
    super(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(maxHeaderBytes)
            .setMaxHeaderSize(maxHeaderBytes));
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException(
        "both " + HttpHeaderNames.TRANSFER_ENCODING + " and " + HttpHeaderNames.CONTENT_LENGTH);
  }

  /** Netty takes the 8 bytes after some requests of early WebSocket drafts for a body. */
  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    return !message.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
        && !message.headers().contains(HttpHeaderNames.TRANSFER_ENCODING);
  }
}
