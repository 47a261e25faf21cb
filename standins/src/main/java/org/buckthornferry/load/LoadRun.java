package org.buckthornferry.load;

import com.fasterxml.jackson.databind.ObjectWriter;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.buckthornferry.config.Json;
import org.buckthornferry.http.HttpConnector;
import org.buckthornferry.util.MonotonicClock;

/** Runs a scenario and its baselines and writes {@code report.json} and {@code report.html}. */
final class LoadRun {
  private static final int CONNECT_TIMEOUT_MILLIS = 2_000;
  private static final ObjectWriter WRITER = Json.MAPPER.writerWithDefaultPrettyPrinter();

  private final LoadOptions options;
  private final PrintStream output;

  LoadRun(LoadOptions options, PrintStream output) {
    this.options = options;
    this.output = output;
  }

  /**
   * Sends the load and returns the reports, one for each run.
   *
   * @throws IOException when a file cannot be read or written
   */
  List<LoadReport> run() throws IOException {
    Scenario scenario =
        Scenario.read(options.scenario).scaled(options.rateFactor, options.secondsFactor);
    if (!options.targets.isEmpty()) {
      scenario = scenario.withTargets(options.targets);
    }
    List<Optional<DirectPolicy>> modes = new ArrayList<>();
    if (!options.onlyDirect) {
      modes.add(Optional.empty());
    }
    options.direct.forEach(policy -> modes.add(Optional.of(policy)));
    EventLoopGroup eventLoops = new NioEventLoopGroup();
    try {
      List<LoadReport> reports = new ArrayList<>();
      for (Optional<DirectPolicy> mode : modes) {
        reports.add(run(eventLoops, scenario, mode));
      }
      WRITER.writeValue(options.out.resolve("report.json").toFile(), reports);
      Files.writeString(options.out.resolve("report.html"), HtmlReport.of(reports));
      return reports;
    } finally {
      eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
  }

  private LoadReport run(EventLoopGroup eventLoops, Scenario scenario, Optional<DirectPolicy> mode)
      throws IOException {
    LoadTool tool =
        new LoadTool(
            new HttpConnector(eventLoops, CONNECT_TIMEOUT_MILLIS),
            eventLoops,
            MonotonicClock.SYSTEM,
            System::currentTimeMillis,
            output);
    LoadResult result = tool.run(scenario, mode);
    Path directory = options.out.resolve(result.mode());
    HistoryFiles.write(directory, result.history());
    LoadReport report = ReportBuilder.build(withEvents(result, directory));
    print(report);
    return report;
  }

  /** Adds the events that an operator wrote beside the records during the run. */
  private static LoadResult withEvents(LoadResult result, Path directory) throws IOException {
    History history = result.history();
    return new LoadResult(
        result.scenario(),
        result.mode(),
        new History(
            history.requests(),
            history.endpoints(),
            history.executions(),
            HistoryFiles.readEvents(directory)),
        result.betweenTokensMicros(),
        result.prefill());
  }

  private void print(LoadReport report) {
    output.printf(
        Locale.ROOT,
        "%s via %s: goodput %.2f%% of %d requests, wasted prefill %.2f%% of %d tokens%n",
        report.scenario(),
        report.mode(),
        report.total().goodput() * 100,
        report.total().offered(),
        report.prefill().wastedShare() * 100,
        report.prefill().tokens());
    for (GroupReport tier : report.tiers()) {
      output.printf(
          Locale.ROOT,
          "  tier %-8s goodput %.2f%% of %d, late %d, p50 %.1f ms, p99 %.1f ms%n",
          tier.name(),
          tier.goodput() * 100,
          tier.offered(),
          tier.late(),
          tier.latencyMicros().p50() / 1_000.0,
          tier.latencyMicros().p99() / 1_000.0);
    }
    output.printf("  refusals by kind %s%n", report.refusals());
    output.printf("  violations %s%n", report.violations());
  }
}
