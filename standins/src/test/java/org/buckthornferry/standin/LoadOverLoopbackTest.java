package org.buckthornferry.standin;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.buckthornferry.admission.Tier;
import org.buckthornferry.config.ServiceKind;
import org.buckthornferry.http.HttpConnector;
import org.buckthornferry.load.DirectPolicy;
import org.buckthornferry.load.Distribution;
import org.buckthornferry.load.HistoryChecker;
import org.buckthornferry.load.LoadResult;
import org.buckthornferry.load.LoadTool;
import org.buckthornferry.load.Outcome;
import org.buckthornferry.load.Phase;
import org.buckthornferry.load.RequestClass;
import org.buckthornferry.load.RequestRecord;
import org.buckthornferry.load.Scenario;
import org.buckthornferry.util.MonotonicClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Runs the load tool against an engine and a service over loopback. */
class LoadOverLoopbackTest {
  private final EventLoopGroup eventLoops = new NioEventLoopGroup(4);
  private EngineStandIn engine;
  private ServiceStandIn service;
  private StandInServer engineServer;
  private StandInServer serviceServer;
  private Scenario scenario;

  @BeforeEach
  void start() {
    engine =
        new EngineStandIn(
            eventLoops.next(),
            Engines.settings(50, 0, false),
            MonotonicClock.SYSTEM,
            System::currentTimeMillis,
            StandInContext.random(1));
    service =
        new ServiceStandIn(
            eventLoops.next(),
            new ServiceSettings("s1", "kol-a", "v1", 1, 1_000, true),
            System::currentTimeMillis,
            StandInContext.random(2));
    engineServer = new StandInServer("e1", 0, eventLoops, engine);
    serviceServer = new StandInServer("s1", 0, eventLoops, service);
    scenario =
        new Scenario(
            "loopback",
            5,
            List.of(),
            Map.of("c", "key"),
            3,
            30,
            List.of("127.0.0.1:" + engineServer.start()),
            List.of("127.0.0.1:" + serviceServer.start()),
            List.of(requestClass(ServiceKind.MODEL, true), requestClass(ServiceKind.PLAIN, false)),
            List.of(new Phase("only", 0.5, 1, true)),
            null);
  }

  @AfterEach
  void stop() {
    engineServer.stop();
    serviceServer.stop();
    eventLoops.shutdownGracefully();
  }

  /** Guards against false alarms of the checks on a system without faults. */
  @Test
  void cleanRunIsCompleteAndWithoutViolation() {
    LoadResult result = run();
    assertThat(result.history().requests()).isNotEmpty();
    for (RequestRecord request : result.history().requests()) {
      assertThat(request.outcome()).isEqualTo(Outcome.COMPLETE);
    }
    assertThat(HistoryChecker.check(result.history())).isEmpty();
    assertThat(result.prefill().wastedTokens()).isEqualTo(0);
    assertThat(result.prefill().tokens()).isGreaterThan(0);
  }

  /** Guards against truncated streams and crossed answers that pass as successes. */
  @Test
  void wrongResponsesAreFound() {
    merge(engine, "{\"truncateShare\":1}");
    merge(service, "{\"crossedShare\":1}");
    LoadResult result = run();
    for (RequestRecord request : result.history().requests()) {
      assertThat(request.outcome()).isEqualTo(Outcome.MISMATCHED);
    }
    assertThat(HistoryChecker.count(HistoryChecker.check(result.history())).get("P6"))
        .isAtLeast(result.history().requests().size());
  }

  /** Guards against refusals that count as executions, and lost answers that do not. */
  @Test
  void refusedRequestsDoNotRunAndDroppedOnesDo() {
    merge(engine, "{\"refuse\":true}");
    merge(service, "{\"dropAfterRunShare\":1}");
    LoadResult result = run();
    for (RequestRecord request : result.history().requests()) {
      boolean model = request.kind() == ServiceKind.MODEL;
      assertThat(request.outcome()).isEqualTo(model ? Outcome.REFUSED : Outcome.LOST);
      assertThat(result.history().executions().getOrDefault(request.contentHash(), 0))
          .isEqualTo(model ? 0 : 1);
    }
    assertThat(HistoryChecker.check(result.history())).isEmpty();
  }

  private LoadResult run() {
    LoadTool tool =
        new LoadTool(
            new HttpConnector(eventLoops, 5_000),
            eventLoops,
            MonotonicClock.SYSTEM,
            System::currentTimeMillis,
            new PrintStream(OutputStream.nullOutputStream(), false, StandardCharsets.UTF_8));
    return tool.run(scenario, Optional.of(DirectPolicy.ROUND_ROBIN));
  }

  private static RequestClass requestClass(ServiceKind kind, boolean key) {
    return new RequestClass(
        kind.name(),
        kind,
        "/p",
        "c",
        Tier.STANDARD,
        false,
        20,
        Distribution.fixed(10),
        Distribution.fixed(4),
        0,
        60_000,
        60_000,
        key,
        false);
  }

  private static void merge(StandIn standIn, String json) {
    standIn.faults().merge(json.getBytes(StandardCharsets.UTF_8));
  }
}
