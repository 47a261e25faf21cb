package org.buckthornferry.node;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.buckthornferry.http.HttpConnector;
import org.buckthornferry.http.HttpExchange;
import org.buckthornferry.http.HttpLimits;
import org.buckthornferry.http.HttpServer;
import org.buckthornferry.util.MonotonicClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests which responses of an endpoint show that it did not run the request. */
@Timeout(30)
class ResponseRelayTest {
  private static final InetSocketAddress ANY_PORT =
      new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

  private final EventLoopGroup eventLoops = new NioEventLoopGroup(1);
  private final CompletableFuture<HttpExchange> received = new CompletableFuture<>();
  private final HttpServer server =
      new HttpServer(
          ANY_PORT, HttpLimits.INTERNAL, Optional.empty(), eventLoops, received::complete);
  private final CompletableFuture<EndpointResult> result = new CompletableFuture<>();
  private ResponseRelay relay;

  @BeforeEach
  void receiveARequest() {
    int port = server.start().join();
    new HttpConnector(eventLoops, 1_000)
        .exchange(
            new InetSocketAddress(ANY_PORT.getAddress(), port),
            "POST",
            "/v1/booking/loans",
            Map.of(),
            new byte[0],
            10_000);
    relay =
        new ResponseRelay("r1", received.join(), MonotonicClock.SYSTEM, 0, false, result::complete);
  }

  @AfterEach
  void stop() {
    server.stop();
    eventLoops.shutdownGracefully();
  }

  @Test
  void aRefusalOfTheRequestShowsThatItDidNotRun() {
    respond(503, fields("Not-Run", "true", "Request-Id", "r1"));
    assertThat(result.join().outcome()).isEqualTo(EndpointOutcome.NOT_RUN);
  }

  /** Guards against a refusal of another request on the connection, or of another process. */
  @Test
  void aRefusalWithoutTheRequestsIdDoesNotShowThatItDidNotRun() {
    respond(503, fields("Not-Run", "true"));
    assertThat(result.join().outcome()).isEqualTo(EndpointOutcome.FAILED);
  }

  @Test
  void aRefusalOfAnotherRequestDoesNotShowThatItDidNotRun() {
    respond(503, fields("Not-Run", "true", "Request-Id", "r0"));
    assertThat(result.join().outcome()).isEqualTo(EndpointOutcome.TRUNCATED);
  }

  /** Guards against a request that is sent again after its response has begun. */
  @Test
  void aResponseThatHasBegunIsNoRefusal() {
    respond(
        200, fields("Not-Run", "true", "Request-Id", "r1", "Content-Type", "text/event-stream"));
    assertThat(result.join().outcome()).isEqualTo(EndpointOutcome.TRUNCATED);
  }

  private void respond(int status, HttpHeaders headers) {
    relay.onHead(status, headers);
    relay.onEnd();
  }

  private static HttpHeaders fields(String... namesAndValues) {
    HttpHeaders headers = new DefaultHttpHeaders();
    for (int i = 0; i < namesAndValues.length; i += 2) {
      headers.set(namesAndValues[i], namesAndValues[i + 1]);
    }
    return headers;
  }
}
