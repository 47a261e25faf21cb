package org.buckthornferry.standin;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.buckthornferry.admission.Tier;
import org.buckthornferry.config.CustomerDeclaration;
import org.buckthornferry.config.Declarations;
import org.buckthornferry.config.EndpointDeclaration;
import org.buckthornferry.config.FailureDomainDeclaration;
import org.buckthornferry.config.Json;
import org.buckthornferry.config.Publisher;
import org.buckthornferry.config.RouteDeclaration;
import org.buckthornferry.config.ServiceDeclaration;
import org.buckthornferry.config.ServiceKind;
import org.buckthornferry.config.Settings;
import org.buckthornferry.config.TierDeclaration;
import org.buckthornferry.http.HttpConnector;
import org.buckthornferry.http.HttpReply;
import org.buckthornferry.node.EntryNode;
import org.buckthornferry.store.HttpKeyValueStore;
import org.buckthornferry.util.MonotonicClock;
import org.buckthornferry.util.Sha256;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Sends requests through two whole instances to a plain service over loopback. */
class WholePathTest {
  private static final String KEY = "test-customer-key";
  private static final String TOKEN = "test-operator-token";
  private static final String LOANS = "/v1/booking/loans";
  private static final long SAFETY_MILLIS = 60_000;

  private final NioEventLoopGroup eventLoops = new NioEventLoopGroup(4);
  private final HttpConnector connector = new HttpConnector(eventLoops, 5_000);
  private final List<StandInServer> servers = new ArrayList<>();
  private final List<EntryNode> nodes = new ArrayList<>();
  private final List<InetSocketAddress> callers = new ArrayList<>();
  private final List<InetSocketAddress> operators = new ArrayList<>();
  private InetSocketAddress storeAddress;
  private InetSocketAddress listAddress;
  private InetSocketAddress serviceAddress;

  @BeforeEach
  void start() throws Exception {
    storeAddress =
        serve(
            "store",
            new StoreStandIn(
                eventLoops, MonotonicClock.SYSTEM, StandInContext.random(1), 1_000, 4_000));
    listAddress = serve("instances", new InstancesStandIn(MonotonicClock.SYSTEM, 0));
    serviceAddress =
        serve(
            "booking-1",
            new ServiceStandIn(
                eventLoops.next(),
                new ServiceSettings("booking-1", "kol-a", "v1", 50, 32, true),
                System::currentTimeMillis,
                StandInContext.random(2)));
    publisher().publish(declarations()).join();
    startNode("entry-1", "kol-a");
    startNode("entry-2", "kol-b");
    for (InetSocketAddress operator : operators) {
      await("ready", () -> get(operator, "/ready").status() == 200);
    }
    await("a first booking", () -> post(0, LOANS, "warm-up", "{}").status() == 200);
  }

  @AfterEach
  void stop() {
    nodes.forEach(EntryNode::stop);
    servers.forEach(StandInServer::stop);
    eventLoops.shutdownGracefully(0, 1_000, TimeUnit.MILLISECONDS);
  }

  /** Guards against a booking that runs again when its caller repeats it at another instance. */
  @Test
  void repeatedBookingGetsTheFirstResponseAtAnyInstance() {
    HttpReply first = post(0, LOANS, "loan-1", "{\"cleat\":7}");
    HttpReply second = post(1, LOANS, "loan-1", "{\"cleat\":7}");
    HttpReply third = post(0, LOANS, "loan-1", "{\"cleat\":7}");
    assertThat(first.status()).isEqualTo(200);
    assertThat(second.status()).isEqualTo(200);
    assertThat(second.headers().get("Idempotency-Replayed")).isEqualTo("true");
    assertThat(second.text()).isEqualTo(first.text());
    assertThat(third.text()).isEqualTo(first.text());
    assertThat(executionsOf("loan-1")).isEqualTo(1);
  }

  /** Guards against a key that silently returns the response to another request. */
  @Test
  void keyWithOtherContentIsRefused() {
    assertThat(post(0, LOANS, "loan-2", "{\"cleat\":1}").status()).isEqualTo(200);
    HttpReply reused = post(1, LOANS, "loan-2", "{\"cleat\":2}");
    assertThat(errorKind(reused)).isEqualTo("IDEMPOTENCY_KEY_REUSED");
    // Without the id a caller cannot tell which of its requests failed.
    assertThat(reused.headers().get("Request-Id")).isNotNull();
    assertThat(executionsOf("loan-2")).isEqualTo(1);
  }

  /** Guards against a refusal without a problem document or with a wrong "not run". */
  @Test
  void refusalsAreProblemDocuments() {
    HttpReply unknownRoute = post(0, "/v1/nothing", "k", "{}");
    assertThat(unknownRoute.status()).isEqualTo(404);
    assertThat(unknownRoute.headers().get("Content-Type")).isEqualTo("application/problem+json");
    assertThat(json(unknownRoute).path("notRun").asBoolean()).isTrue();
    HttpReply unknownCustomer =
        call(callers.get(0), "POST", LOANS, Map.of("Authorization", "Bearer x"), "{}");
    assertThat(errorKind(unknownCustomer)).isEqualTo("UNAUTHENTICATED");
  }

  /** Guards against a stop that cuts running requests or drops those that come after it. */
  @Test
  void stoppedInstanceFinishesItsRequestAndTheOtherServes() {
    CompletableFuture<HttpReply> running = postAsync(0, LOANS, "loan-3", "{}");
    EntryNode stopped = nodes.remove(0);
    await("the booking runs", () -> executionsOf("loan-3") == 1 || running.isDone());
    stopped.stop();
    assertThat(running.join().status()).isEqualTo(200);
    await("the other serves", () -> post(1, LOANS, "loan-4", "{}").status() == 200);
    assertThat(executionsOf("loan-3")).isEqualTo(1);
  }

  /** Guards against new work in a drained failure domain and against a return that is ignored. */
  @Test
  void drainedDomainGetsNoNewWorkUntilItReturns() {
    publisher().drain("kol-a").join();
    await("entry-1 is not ready", () -> get(operators.get(0), "/ready").status() == 503);
    await(
        "entry-2 follows",
        () -> json(status(1)).path("drainedDomains").toString().equals("[\"kol-a\"]"));
    HttpReply refused = post(1, LOANS, "loan-5", "{}", 500);
    assertThat(refused.status()).isNotEqualTo(200);
    assertThat(executionsOf("loan-5")).isEqualTo(0);
    publisher().returnDomain("kol-a").join();
    await("it serves again", () -> post(0, LOANS, "loan-6", "{}").status() == 200);
  }

  private InetSocketAddress serve(String name, StandIn standIn) {
    StandInServer server = new StandInServer(name, 0, eventLoops, standIn);
    servers.add(server);
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), server.start());
  }

  private void startNode(String instanceId, String failureDomain) throws IOException {
    InetSocketAddress caller = freeAddress();
    InetSocketAddress operator = freeAddress();
    InetSocketAddress peer = freeAddress();
    Map<String, Object> settings = new LinkedHashMap<>();
    settings.put("instanceId", instanceId);
    settings.put("failureDomain", failureDomain);
    settings.put("region", "bengal");
    settings.put("callerAddress", text(caller));
    settings.put("operatorAddress", text(operator));
    settings.put("peerAddress", text(peer));
    settings.put("storeUrl", "http://" + text(storeAddress));
    settings.put("instanceListUrl", "http://" + text(listAddress));
    settings.put("operatorTokenSha256", Sha256.hex(TOKEN));
    call(
        listAddress,
        "PUT",
        "/admin/instances/" + instanceId,
        Map.of(),
        Json.MAPPER.writeValueAsString(
            new InstanceEntry(instanceId, text(peer), failureDomain, "bengal", 1, false)));
    EntryNode node =
        new EntryNode(Settings.parse(instanceId, Json.MAPPER.writeValueAsBytes(settings)));
    node.start().join();
    nodes.add(node);
    callers.add(caller);
    operators.add(operator);
  }

  private Publisher publisher() {
    return new Publisher(
        new HttpKeyValueStore(connector, storeAddress, SAFETY_MILLIS),
        new SplittableRandom(3),
        eventLoops);
  }

  private Declarations declarations() {
    return new Declarations(
        List.of(
            new FailureDomainDeclaration("kol-a", "bengal", false),
            new FailureDomainDeclaration("kol-b", "bengal", false)),
        List.of(new CustomerDeclaration("depot", Sha256.hex(KEY), 1)),
        List.of(
            new ServiceDeclaration(
                "booking",
                ServiceKind.PLAIN,
                "v1",
                List.of(new RouteDeclaration(LOANS, Tier.CRITICAL, false, 1, 1)),
                List.of(
                    new TierDeclaration(Tier.CRITICAL, 30_000, 10_000),
                    new TierDeclaration(Tier.STANDARD, 30_000, 10_000),
                    new TierDeclaration(Tier.BULK, 30_000, 10_000)),
                List.of(
                    new EndpointDeclaration(
                        "booking-1", text(serviceAddress), "kol-a", "v1", "plain", 32, 8, true)),
                Optional.empty())));
  }

  private HttpReply post(int instance, String path, String key, String body) {
    return postAsync(instance, path, key, body).join();
  }

  /** Sends a request with its own deadline. */
  private HttpReply post(int instance, String path, String key, String body, int timeoutMillis) {
    Map<String, String> headers = new LinkedHashMap<>(headers(key));
    headers.put("Request-Timeout-Ms", Integer.toString(timeoutMillis));
    headers.put("Request-Tier", "bulk");
    return call(callers.get(instance), "POST", path, headers, body);
  }

  private CompletableFuture<HttpReply> postAsync(
      int instance, String path, String key, String body) {
    return connector.exchange(
        callers.get(instance), "POST", path, headers(key), bytes(body), SAFETY_MILLIS);
  }

  private static Map<String, String> headers(String key) {
    return Map.of("Authorization", "Bearer " + KEY, "Idempotency-Key", key);
  }

  private HttpReply get(InetSocketAddress address, String path) {
    return call(address, "GET", path, Map.of("Authorization", "Bearer " + TOKEN), "");
  }

  private HttpReply status(int instance) {
    return get(operators.get(instance), "/status");
  }

  private HttpReply call(
      InetSocketAddress address,
      String method,
      String path,
      Map<String, String> headers,
      String body) {
    return connector.exchange(address, method, path, headers, bytes(body), SAFETY_MILLIS).join();
  }

  private int executionsOf(String key) {
    JsonNode executions = json(get(serviceAddress, "/executions"));
    return executions.findPath(key).asInt(0);
  }

  private static String errorKind(HttpReply reply) {
    return json(reply).path("errorKind").asText();
  }

  private static JsonNode json(HttpReply reply) {
    try {
      return Json.MAPPER.readTree(reply.body());
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private static String text(InetSocketAddress address) {
    return "127.0.0.1:" + address.getPort();
  }

  private static InetSocketAddress freeAddress() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return new InetSocketAddress(InetAddress.getLoopbackAddress(), socket.getLocalPort());
    }
  }

  /** Waits for a state that must come; the time limit only ends a run that hangs. */
  private static void await(String what, BooleanSupplier condition) {
    long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(SAFETY_MILLIS);
    while (!condition.getAsBoolean()) {
      assertWithMessage(what).that(System.nanoTime() - untilNanos).isLessThan(0);
      Thread.onSpinWait();
    }
  }
}
