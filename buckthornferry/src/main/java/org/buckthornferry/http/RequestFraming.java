package org.buckthornferry.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.Optional;
import org.buckthornferry.error.ErrorKind;
import org.buckthornferry.error.RequestException;

/** Decides from the head of a request whether the server reads its body (RFC 9112, section 6.3). */
final class RequestFraming {
  private RequestFraming() {}

  /**
   * Returns why the body of a request is not read, or empty if it is: its end cannot be determined,
   * it is too large, or the client expects something unknown of the server.
   *
   * @param maxBodyBytes the maximum size of a body
   */
  static Optional<RequestException> rejection(HttpRequest head, int maxBodyBytes) {
    HttpHeaders headers = head.headers();
    if (headers.contains(HttpHeaderNames.TRANSFER_ENCODING) && !isMeasurablyChunked(head)) {
      return reject(ErrorKind.BAD_REQUEST, "the transfer coding does not delimit the body");
    }
    if (HttpUtil.getContentLength(head, 0L) > maxBodyBytes) {
      return Optional.of(tooLarge(maxBodyBytes));
    }
    if (!expectsContinue(head) && expectsAnything(head)) {
      return reject(ErrorKind.UNKNOWN_EXPECTATION, "only the expectation 100-continue is known");
    }
    return Optional.empty();
  }

  /** Returns the failure of a request whose body exceeds the limit. */
  static RequestException tooLarge(int maxBodyBytes) {
    return new RequestException(
        ErrorKind.BODY_TOO_LARGE, "the body exceeds " + maxBodyBytes + " bytes");
  }

  /** Returns whether the client waits for an interim response before it sends the body. */
  static boolean expectsContinue(HttpRequest head) {
    List<String> expectations = head.headers().getAll(HttpHeaderNames.EXPECT);
    return expectsAnything(head)
        && expectations.size() == 1
        && HttpHeaderValues.CONTINUE.contentEqualsIgnoreCase(expectations.get(0).strip());
  }

  /** Returns whether the request has expectations; those of HTTP/1.0 requests are ignored. */
  private static boolean expectsAnything(HttpRequest head) {
    return isHttp11(head) && head.headers().contains(HttpHeaderNames.EXPECT);
  }

  private static boolean isMeasurablyChunked(HttpRequest head) {
    List<String> codings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
    return isHttp11(head)
        && codings.size() == 1
        && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0).strip())
        && !head.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
  }

  private static boolean isHttp11(HttpRequest head) {
    return head.protocolVersion().compareTo(HttpVersion.HTTP_1_1) >= 0;
  }

  private static Optional<RequestException> reject(ErrorKind kind, String reason) {
    return Optional.of(new RequestException(kind, reason));
  }
}
