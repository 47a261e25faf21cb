package org.buckthornferry.standin;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;

@Parameters(commandDescription = "Starts a model engine")
final class EngineCommand extends StandInCommand {
  @Parameter(names = "--id", description = "Endpoint id in the declarations")
  String id = "engine";

  @Parameter(names = "--failure-domain", description = "Failure domain, for the request log")
  String failureDomain = "";

  @Parameter(names = "--version", description = "Version that is loaded at start")
  String version = "v1";

  @Parameter(names = "--prefill-tokens-per-second", description = "Speed of the whole engine")
  double prefillTokensPerSecond = 8_000;

  @Parameter(names = "--decode-tokens-per-second", description = "Speed of a stream alone")
  double decodeTokensPerSecond = 60;

  @Parameter(
      names = "--batch-slowdown",
      description = "Part by which each further stream slows all streams")
  double batchSlowdown = 0.02;

  @Parameter(names = "--max-batch", description = "Requests that run at once")
  int maxBatch = 16;

  @Parameter(names = "--max-waiting", description = "Requests that wait; further ones are refused")
  int maxWaiting = 64;

  @Parameter(names = "--cache-tokens", description = "Tokens that the prefix cache holds")
  long cacheTokens = 200_000;

  @Parameter(names = "--starts-cold", arity = 1, description = "Whether it starts cold")
  boolean startsCold;

  @Parameter(names = "--cold-millis", description = "Duration of a cold start")
  long coldMillis = 10_000;

  @Parameter(names = "--cold-factor", description = "Speed in cold start relative to warm")
  double coldFactor = 0.2;

  @Parameter(names = "--cold-bound", description = "Requests above which a cold engine fails")
  int coldBound = 4;

  @Parameter(
      names = "--cold-announced",
      arity = 1,
      description = "Whether the load report tells a cold start")
  boolean coldAnnounced = true;

  @Parameter(names = "--report-lag-millis", description = "Age of the load reports")
  long reportLagMillis = 200;

  @Parameter(names = "--cache-event-delay-millis", description = "Delay of cache events")
  long cacheEventDelayMillis = 500;

  @Parameter(names = "--cache-event-drop-share", description = "Share of lost cache events")
  double cacheEventDropShare = 0.02;

  @Parameter(
      names = "--checks-fencing",
      arity = 1,
      description = "Whether orders with an old fencing number are refused")
  boolean checksFencing = true;

  @Parameter(names = "--crash-marker", description = "Text in a prompt that crashes the engine")
  String crashMarker = "CRASH-ENGINE";

  @Parameter(names = "--down-millis", description = "Time without service after a crash")
  long downMillis = 3_000;

  @Parameter(names = "--orphan-millis", description = "Time that a stream goes on without caller")
  long orphanMillis = 10_000;

  @Override
  String name() {
    return id;
  }

  @Override
  StandIn create(StandInContext context) {
    return new EngineStandIn(
        context.eventLoops().next(),
        settings(),
        context.clock(),
        context.wallMillis(),
        StandInContext.random(seed));
  }

  private EngineSettings settings() {
    return new EngineSettings(
        id,
        failureDomain,
        version,
        prefillTokensPerSecond,
        decodeTokensPerSecond,
        batchSlowdown,
        maxBatch,
        maxWaiting,
        cacheTokens,
        startsCold,
        coldMillis,
        coldFactor,
        coldBound,
        coldAnnounced,
        reportLagMillis,
        cacheEventDelayMillis,
        cacheEventDropShare,
        checksFencing,
        crashMarker,
        downMillis,
        orphanMillis);
  }
}
