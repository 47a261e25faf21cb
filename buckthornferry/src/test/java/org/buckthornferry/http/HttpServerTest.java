package org.buckthornferry.http;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.netty.channel.MultithreadEventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests that ambiguous or malformed requests are rejected and do not stop the server. */
@Timeout(60)
final class HttpServerTest {
  private static final String CHUNKED_BODY_AND_SMUGGLED_REQUEST =
      String.join("\r\n", "", "0", "", "GET /smuggled HTTP/1.1", "Host: h", "", "");

  private final MultithreadEventLoopGroup loops = new NioEventLoopGroup(1);
  private final AtomicInteger handled = new AtomicInteger();
  private final HttpServer server =
      new HttpServer(
          new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
          HttpLimits.INTERNAL,
          Optional.empty(),
          loops,
          exchange -> {
            handled.incrementAndGet();
            exchange.respondJson(200, "{}");
          });

  @AfterEach
  void stop() {
    server.stop();
    loops.shutdownGracefully();
  }

  @Test
  void rejectsContentLengthWithChunkedEncodingAndReadsNoFurtherRequest() throws IOException {
    String responses =
        exchange(
            "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n"
                + CHUNKED_BODY_AND_SMUGGLED_REQUEST);
    assertThat(responses).startsWith("HTTP/1.1 400");
    assertThat(handled.get()).isEqualTo(0);
  }

  @Test
  void rejectsConflictingContentLengths() throws IOException {
    String responses =
        exchange(
            "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\n12345");
    assertThat(responses).startsWith("HTTP/1.1 400");
    assertThat(handled.get()).isEqualTo(0);
  }

  @Test
  void rejectsWhitespaceBeforeTheColonOfAHeaderField() throws IOException {
    String responses =
        exchange("POST / HTTP/1.1\r\nHost: h\r\nContent-Length : 3\r\n\r\nabcGET / HTTP/1.1\r\n");
    assertThat(responses).startsWith("HTTP/1.1 400");
    assertThat(handled.get()).isEqualTo(0);
  }

  @Test
  void closesTheConnectionAfterTheResponseWhileDraining() throws IOException {
    server.drain();
    String responses = exchange("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    assertThat(responses).startsWith("HTTP/1.1 200");
    assertThat(responses.toLowerCase(java.util.Locale.ROOT)).contains("connection: close");
  }

  /** Guards against requests that hang the server, get a malformed response or stop service. */
  @Test
  void everyMutatedRequestGetsAResponseOrAClosedConnection() throws IOException {
    int port = server.start().join();
    for (int seed = 1; seed <= 300; seed++) {
      String responses = exchange(port, mutatedRequest(new SplittableRandom(seed)));
      if (!responses.isEmpty()) {
        assertWithMessage("seed %s", seed).that(responses).startsWith("HTTP/1.1 ");
      }
    }
    String validRequest = "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    assertThat(exchange(port, validRequest.getBytes(StandardCharsets.ISO_8859_1)))
        .startsWith("HTTP/1.1 200");
  }

  private static byte[] mutatedRequest(SplittableRandom random) {
    byte[] bytes =
        String.join(
                "\r\n",
                "POST /path?query=1 HTTP/1.1",
                "Host: h",
                "Content-Type: text/plain",
                "Content-Length: 11",
                "",
                "hello world")
            .getBytes(StandardCharsets.ISO_8859_1);
    for (int change = 1 + random.nextInt(4); change > 0; change--) {
      int at = random.nextInt(bytes.length);
      if (random.nextInt(4) == 0) {
        bytes = Arrays.copyOf(bytes, Math.max(1, at));
      } else {
        bytes[at] = (byte) random.nextInt(256);
      }
    }
    return bytes;
  }

  /** Sends bytes and returns everything received until the server closes the connection. */
  private String exchange(String bytes) throws IOException {
    return exchange(server.start().join(), bytes.getBytes(StandardCharsets.ISO_8859_1));
  }

  private static String exchange(int port, byte[] bytes) throws IOException {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      socket.getOutputStream().write(bytes);
      socket.shutdownOutput();
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }
  }
}
