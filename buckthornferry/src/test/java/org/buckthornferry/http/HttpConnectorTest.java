package org.buckthornferry.http;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.channel.MultithreadEventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;
import org.buckthornferry.http.HttpConnector.Reuse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(30)
final class HttpConnectorTest {
  private static final String ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n";

  private final MultithreadEventLoopGroup loops = new NioEventLoopGroup(1);
  private final HttpConnector connector = new HttpConnector(loops, 1_000);
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final AtomicInteger connections = new AtomicInteger();
  private ServerSocket server;
  private volatile String answer = ANSWER + "\r\nok";
  private volatile String endlessly = "";
  private final CompletableFuture<Boolean> closedByClient = new CompletableFuture<>();
  private volatile boolean closesAfterAnswer;
  private volatile boolean resetsAfterAnswer;

  @BeforeEach
  void start() throws IOException {
    server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    threads.execute(this::accept);
  }

  @AfterEach
  void stop() throws IOException {
    server.close();
    threads.shutdownNow();
    loops.shutdownGracefully();
  }

  @Test
  void reusesAConnectionWithinTheServersIdleTime() {
    answer = ANSWER + "Keep-Alive: timeout=20\r\n\r\nok";
    get(Reuse.FRESH);
    get(Reuse.FRESH);
    assertThat(connections.get()).isEqualTo(1);
  }

  @Test
  void opensANewConnectionWhenTheServerMayHaveClosedTheIdleOne() {
    answer = ANSWER + "Keep-Alive: timeout=0\r\n\r\nok";
    get(Reuse.FRESH);
    get(Reuse.FRESH);
    assertThat(connections.get()).isEqualTo(2);
  }

  @Test
  void usesAnyIdleConnectionForRequestsThatMayBeSentAgain() {
    answer = ANSWER + "Keep-Alive: timeout=0\r\n\r\nok";
    get(Reuse.ANY);
    get(Reuse.ANY);
    assertThat(connections.get()).isEqualTo(1);
    get(Reuse.NONE);
    assertThat(connections.get()).isEqualTo(2);
  }

  @Test
  void doesNotKeepAConnectionThatTheServerWillClose() {
    answer = ANSWER + "Connection: close\r\n\r\nok";
    get(Reuse.ANY);
    get(Reuse.ANY);
    assertThat(connections.get()).isEqualTo(2);
  }

  @Test
  void anAnswerThatEndsBeforeItsLengthFails() {
    answer = "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf";
    closesAfterAnswer = true;
    assertThat(failure().mayHaveReachedServer()).isTrue();
  }

  @Test
  void anAnswerWithoutALengthEndsWithItsConnection() {
    answer = "HTTP/1.1 200 OK\r\n\r\nwhole";
    closesAfterAnswer = true;
    assertThat(get(Reuse.NONE).text()).isEqualTo("whole");
  }

  @Test
  void anAnswerWithoutALengthIsNotWholeWhenItsConnectionIsReset() {
    answer = "HTTP/1.1 200 OK\r\n\r\npart";
    resetsAfterAnswer = true;
    assertThat(failure().mayHaveReachedServer()).isTrue();
  }

  @Test
  void bytesThatAreNoAnswerFail() {
    answer = "\u0000\u0001garbage\r\n\r\n";
    closesAfterAnswer = true;
    assertThat(failure().mayHaveReachedServer()).isTrue();
  }

  @Test
  void interimAnswersWithoutEndFail() {
    answer = "";
    endlessly = "HTTP/1.1 103 Early Hints\r\n\r\n";
    assertThat(failure()).hasMessageThat().contains("too many responses");
    assertThat(isClosedByClient()).isTrue();
  }

  @Test
  void aHeadWithoutEndFails() {
    answer = "HTTP/1.1 200 OK\r\n";
    endlessly = "X-Padding: " + "x".repeat(1_000) + "\r\n";
    assertThat(failure().mayHaveReachedServer()).isTrue();
    assertThat(isClosedByClient()).isTrue();
  }

  @Test
  void aBodyWithoutEndFailsAtTheStatedSize() {
    answer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    endlessly = "400\r\n" + "x".repeat(1_024) + "\r\n";
    assertThat(failure()).hasMessageThat().contains("response exceeds 65536 bytes");
    assertThat(isClosedByClient()).isTrue();
  }

  @Test
  void aChunkSizeWithoutEndFails() {
    answer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    endlessly = "0".repeat(1_024);
    assertThat(failure().mayHaveReachedServer()).isTrue();
    assertThat(isClosedByClient()).isTrue();
  }

  @Test
  void trailersWithoutEndFail() {
    answer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n";
    endlessly = "X-Padding: " + "x".repeat(1_000) + "\r\n";
    assertThat(failure().mayHaveReachedServer()).isTrue();
    assertThat(isClosedByClient()).isTrue();
  }

  @Test
  void bytesWithoutEndBehindAnAnswerEndTheConnection() {
    answer = ANSWER + "\r\nok";
    endlessly = "x".repeat(1_024);
    assertThat(get(Reuse.ANY).text()).isEqualTo("ok");
    assertThat(isClosedByClient()).isTrue();
  }

  @Test
  void aLateCopyOfAnEarlierAnswerIsSkipped() {
    answer = ANSWER + "Id: earlier\r\n\r\nno" + ANSWER + "\r\nok";
    assertThat(get(Reuse.ANY, fields -> !fields.contains("Id")).text()).isEqualTo("ok");
  }

  @Test
  void aLateCopyWithoutEndFails() {
    answer = "HTTP/1.1 200 OK\r\nId: earlier\r\nTransfer-Encoding: chunked\r\n\r\n";
    endlessly = "400\r\n" + "x".repeat(1_024) + "\r\n";
    CompletionException failed =
        assertThrows(
            CompletionException.class, () -> get(Reuse.ANY, fields -> !fields.contains("Id")));
    assertThat(failed).hasMessageThat().contains("too many responses");
    assertThat(isClosedByClient()).isTrue();
  }

  @Test
  void aRefusedConnectionSaysThatNothingWasSent() throws IOException {
    server.close();
    assertThat(failure().mayHaveReachedServer()).isFalse();
  }

  /** Waits until the server could write no more; the time limit of the build ends it otherwise. */
  private boolean isClosedByClient() {
    return closedByClient.join();
  }

  private HttpReply get(Reuse reuse) {
    return get(reuse, fields -> true);
  }

  private HttpReply get(Reuse reuse, Predicate<HttpHeaders> isOwn) {
    return connector
        .exchange(
            new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort()),
            "GET",
            "/",
            Map.of(),
            new byte[0],
            reuse,
            isOwn,
            64 << 10,
            60_000)
        .join();
  }

  private HttpFailure failure() {
    CompletionException failed = assertThrows(CompletionException.class, () -> get(Reuse.NONE));
    return (HttpFailure) failed.getCause();
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        connections.incrementAndGet();
        threads.execute(() -> serve(socket));
      } catch (IOException e) {
        // The test has closed the server.
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream input = socket.getInputStream();
      StringBuilder read = new StringBuilder();
      for (int c = input.read(); c >= 0; c = input.read()) {
        read.append((char) c);
        if (read.toString().endsWith("\r\n\r\n")) {
          read.setLength(0);
          socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
          while (!endlessly.isEmpty()) {
            socket.getOutputStream().write(endlessly.getBytes(StandardCharsets.ISO_8859_1));
          }
          if (resetsAfterAnswer) {
            socket.setSoLinger(true, 0);
            return;
          }
          if (closesAfterAnswer) {
            return;
          }
        }
      }
    } catch (IOException e) {
      closedByClient.complete(true);
    }
  }
}
