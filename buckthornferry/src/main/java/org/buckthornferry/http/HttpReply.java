package org.buckthornferry.http;

import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;

/** A complete response. */
@SuppressWarnings("ArrayRecordComponent") // Responses are read once and never compared.
public record HttpReply(int status, HttpHeaders headers, byte[] body) {
  /** Returns the body decoded as UTF-8. */
  public String text() {
    return new String(body, StandardCharsets.UTF_8);
  }
}
