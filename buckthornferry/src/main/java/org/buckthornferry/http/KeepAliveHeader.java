package org.buckthornferry.http;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/** Reads the {@code Keep-Alive} header of a response. */
final class KeepAliveHeader {
  private static final String TIMEOUT = "timeout=";

  private KeepAliveHeader() {}

  /** Returns how long the server keeps an idle connection, in milliseconds, if it says so. */
  static OptionalLong timeoutMillis(HttpHeaders headers) {
    String text = headers.get("Keep-Alive");
    if (text == null) {
      return OptionalLong.empty();
    }
    for (String part : text.split(",", -1)) {
      String parameter = part.strip();
      if (parameter.startsWith(TIMEOUT)) {
        return seconds(parameter.substring(TIMEOUT.length()));
      }
    }
    return OptionalLong.empty();
  }

  private static OptionalLong seconds(String text) {
    try {
      return OptionalLong.of(TimeUnit.SECONDS.toMillis(Long.parseLong(text)));
    } catch (NumberFormatException e) {
      // A value that cannot be read says as much as none.
      return OptionalLong.empty();
    }
  }
}
