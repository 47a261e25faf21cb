package org.buckthornferry.http;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/** Parses the {@code Keep-Alive} header of a response. */
final class KeepAliveHeader {
  private static final String TIMEOUT_PARAMETER = "timeout=";

  private KeepAliveHeader() {}

  /** Returns the server's idle timeout of the connection in milliseconds, if stated. */
  static OptionalLong timeoutMillis(HttpHeaders headers) {
    String text = headers.get("Keep-Alive");
    if (text == null) {
      return OptionalLong.empty();
    }
    for (String part : text.split(",", -1)) {
      String parameter = part.strip();
      if (parameter.startsWith(TIMEOUT_PARAMETER)) {
        return parseSeconds(parameter.substring(TIMEOUT_PARAMETER.length()));
      }
    }
    return OptionalLong.empty();
  }

  private static OptionalLong parseSeconds(String text) {
    try {
      return OptionalLong.of(TimeUnit.SECONDS.toMillis(Long.parseLong(text)));
    } catch (NumberFormatException e) {
      // An invalid value is treated like a missing one.
      return OptionalLong.empty();
    }
  }
}
