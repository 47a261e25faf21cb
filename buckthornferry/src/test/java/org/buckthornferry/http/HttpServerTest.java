package org.buckthornferry.http;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.netty.channel.MultithreadEventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests that ambiguous or malformed requests are rejected and do not stop the server. */
@Timeout(60)
final class HttpServerTest {
  private static final String CHUNKED_BODY_AND_SMUGGLED_REQUEST =
      String.join("\r\n", "", "0", "", "GET /smuggled HTTP/1.1", "Host: h", "", "");

  private static final String SMUGGLED_REQUEST = "GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n";
  private static final String POST = "POST / HTTP/1.1\r\nHost: h\r\n";
  private static final String CHUNKED = "Transfer-Encoding: chunked\r\n";
  private static final int READ_TIMEOUT_MILLIS = 20_000;
  private static final int MAX_BODY_BYTES = 64;

  private final MultithreadEventLoopGroup loops = new NioEventLoopGroup(1);
  private final AtomicInteger handled = new AtomicInteger();
  private final List<String> bodies = new CopyOnWriteArrayList<>();
  private final HttpServer server =
      newServer(
          exchange -> {
            handled.incrementAndGet();
            bodies.add(new String(exchange.body(), StandardCharsets.ISO_8859_1));
            exchange.respondJson(200, "{}");
          });

  private HttpServer newServer(HttpHandler handler) {
    return new HttpServer(
        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
        new HttpLimits(16_384, MAX_BODY_BYTES, 4_096, 300_000),
        Optional.empty(),
        loops,
        handler);
  }

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

  /** Guards against bodies that run as requests because the server had not read them as bodies. */
  @Test
  void nothingAfterTheHeadOfARequestWhoseBodyIsNotReadIsRun() throws IOException {
    int port = server.start().join();
    List<String> fields =
        List.of(
            "Content-Length: %d\r\nExpect: receipt\r\n",
            "Content-Length: %d\r\nExpect: 100-continue, receipt\r\n",
            "Content-Length: %d\r\nExpect: 100-continue\r\nExpect: receipt\r\n",
            "Content-Length: %d\r\nTransfer-Encoding: gzip\r\n",
            "Transfer-Encoding: gzip\r\n",
            "Transfer-Encoding: identity\r\n",
            "Transfer-Encoding: xchunked\r\n",
            "Transfer-Encoding: \"chunked\"\r\n",
            "Transfer-Encoding: chunked;q=1\r\n",
            "Transfer-Encoding: chunked, gzip\r\n",
            "Transfer-Encoding: gzip, chunked\r\n",
            "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n",
            "Transfer-Encoding:\r\n",
            "Content-Length: " + (MAX_BODY_BYTES + 1) + "\r\n",
            "Content-Length: " + (MAX_BODY_BYTES + 1) + "\r\nExpect: 100-continue\r\n",
            CHUNKED);
    for (String framing : fields) {
      for (String version : List.of("HTTP/1.1", "HTTP/1.0")) {
        for (boolean isSentAtOnce : new boolean[] {true, false}) {
          String head =
              "POST / "
                  + version
                  + "\r\nHost: h\r\nConnection: keep-alive\r\n"
                  + framing.formatted(SMUGGLED_REQUEST.length())
                  + "\r\n";
          boolean ignoresExpectation = version.equals("HTTP/1.0") && framing.contains("receipt");
          boolean readsChunks = version.equals("HTTP/1.1") && framing.equals(CHUNKED);
          if (ignoresExpectation || readsChunks) {
            continue;
          }
          handled.set(0);
          String responses = rejected(port, head, isSentAtOnce);
          String about = version + " " + framing + " at once " + isSentAtOnce;
          assertWithMessage(about).that(handled.get()).isEqualTo(0);
          assertWithMessage(about).that(responses).matches("(?s)HTTP/1.1 4(00|13|17) .*");
          assertWithMessage(about).that(responses.split("HTTP/1.1 [0-9]", -1)).hasLength(2);
          assertWithMessage(about).that(responses).ignoringCase().contains("connection: close");
        }
      }
    }
  }

  /** Guards against chunks without an end whose rest runs as a request. */
  @Test
  void nothingAfterAMalformedChunkIsRun() throws IOException {
    String responses = exchange(POST + CHUNKED + "\r\n" + SMUGGLED_REQUEST);
    assertThat(responses).startsWith("HTTP/1.1 400");
    assertThat(responses.split("HTTP/1.1 [0-9]", -1)).hasLength(2);
    assertThat(handled.get()).isEqualTo(0);
  }

  /** Guards against bodies over the limit whose rest runs as a request. */
  @Test
  void nothingAfterAChunkedBodyOverTheLimitIsRun() throws IOException {
    String chunk = Integer.toHexString(MAX_BODY_BYTES) + "\r\n" + "x".repeat(MAX_BODY_BYTES);
    String responses =
        exchange(
            POST
                + "Transfer-Encoding: chunked\r\n\r\n"
                + chunk
                + "\r\n1\r\nx\r\n0\r\n\r\n"
                + SMUGGLED_REQUEST);
    assertThat(responses).startsWith("HTTP/1.1 413");
    assertThat(responses.split("HTTP/1.1 [0-9]", -1)).hasLength(2);
    assertThat(handled.get()).isEqualTo(0);
  }

  /** Guards against requests of early WebSocket drafts that swallow a part of the next request. */
  @Test
  void aRequestThatStatesNoBodyHasNone() throws IOException {
    String responses =
        exchange(
            "GET /1 HTTP/1.1\r\nHost: h\r\nUpgrade: WebSocket\r\n"
                + "Sec-WebSocket-Key1: 1\r\nSec-WebSocket-Key2: 2\r\n\r\n"
                + SMUGGLED_REQUEST);
    assertThat(responses.split("HTTP/1.1 200", -1)).hasLength(3);
    assertThat(handled.get()).isEqualTo(2);
  }

  /** Guards against connections that end at an accepted upload. */
  @Test
  void uploadsInChunksAndAfterAnInterimResponseKeepTheConnection() throws IOException {
    String chunked = String.join("\r\n", "5", "hello", "6", " world", "0", "", "");
    String responses =
        exchange(
            POST
                + "Transfer-Encoding: chunked\r\n\r\n"
                + chunked
                + POST
                + "Transfer-Encoding: Chunked\r\nExpect: 100-Continue\r\n\r\n"
                + chunked
                + POST
                + "Content-Length: 11\r\nExpect: 100-continue\r\n\r\nhello world"
                + POST
                + "Content-Length: "
                + MAX_BODY_BYTES
                + "\r\n\r\n"
                + "x".repeat(MAX_BODY_BYTES));
    assertThat(responses.split("HTTP/1.1 200", -1)).hasLength(5);
    assertThat(bodies)
        .containsExactly("hello world", "hello world", "hello world", "x".repeat(MAX_BODY_BYTES))
        .inOrder();
  }

  @Test
  void sendsAnInterimResponseBeforeTheBodyArrives() throws IOException {
    try (Socket socket = connect(server.start().join())) {
      write(socket, POST + "Content-Length: 2\r\nExpect: 100-continue\r\n\r\n");
      assertThat(readHead(socket)).startsWith("HTTP/1.1 100");
      write(socket, "ab");
      assertThat(readHead(socket)).startsWith("HTTP/1.1 200");
    }
  }

  /** Guards against rejections and interim responses within the response to an earlier request. */
  @Test
  void responsesComeInTheOrderOfTheirRequests() throws IOException {
    String interim = "Content-Length: 2\r\nExpect: 100-continue\r\n\r\n";
    for (String second : List.of("Expect: receipt\r\n\r\n", "Bad Name: x\r\n\r\n", interim)) {
      CompletableFuture<HttpExchange> first = new CompletableFuture<>();
      HttpServer slow =
          newServer(
              exchange -> {
                if (!first.complete(exchange)) {
                  exchange.respondJson(200, "{}");
                }
              });
      try (Socket socket = connect(slow.start().join())) {
        write(socket, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nPOST /2 HTTP/1.1\r\nHost: h\r\n" + second);
        first.join().start(200, Map.of());
        first.join().write("part".getBytes(StandardCharsets.ISO_8859_1));
        loops.submit(() -> {}).syncUninterruptibly();
        first.join().end();
        assertWithMessage(second).that(readHead(socket)).startsWith("HTTP/1.1 200");
        String body = String.join("\r\n", "4", "part", "0", "", "");
        assertWithMessage(second).that(read(socket, body.length())).isEqualTo(body);
        assertWithMessage(second)
            .that(readHead(socket))
            .startsWith(second.equals(interim) ? "HTTP/1.1 100" : "HTTP/1.1 4");
      }
      slow.stop();
    }
  }

  /** Guards against connections that are reset before the client has read why. */
  @Test
  void aClientThatSendsItsWholeBodyReadsTheRejection() throws IOException {
    int bodyBytes = 16 << 20;
    try (Socket socket = connect(server.start().join())) {
      write(socket, POST + "Content-Length: " + bodyBytes + "\r\n\r\n");
      socket.getOutputStream().write(new byte[bodyBytes]);
      assertThat(readHead(socket)).startsWith("HTTP/1.1 413");
    }
  }

  /** Sends a request and a further one behind its head; returns all that is received. */
  private static String rejected(int port, String head, boolean isSentAtOnce) throws IOException {
    try (Socket socket = connect(port)) {
      if (isSentAtOnce) {
        write(socket, head + SMUGGLED_REQUEST);
        socket.shutdownOutput();
        return readAll(socket);
      }
      write(socket, head);
      String responseHead = readHead(socket);
      write(socket, SMUGGLED_REQUEST);
      socket.shutdownOutput();
      return responseHead + readAll(socket);
    }
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
    try (Socket socket = connect(port)) {
      socket.getOutputStream().write(bytes);
      socket.shutdownOutput();
      return readAll(socket);
    }
  }

  private static Socket connect(int port) throws IOException {
    Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
    socket.setSoTimeout(READ_TIMEOUT_MILLIS);
    return socket;
  }

  private static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  private static String readAll(Socket socket) throws IOException {
    return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
  }

  private static String read(Socket socket, int count) throws IOException {
    return new String(socket.getInputStream().readNBytes(count), StandardCharsets.ISO_8859_1);
  }

  /** Reads up to the empty line after the header fields of a response. */
  private static String readHead(Socket socket) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      String next = read(socket, 1);
      if (next.isEmpty()) {
        throw new EOFException("connection closed after: " + head);
      }
      head.append(next);
    }
    return head.toString();
  }
}
