package org.buckthornferry.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;

/** Writes reports as one HTML page without outside references. */
final class HtmlReport {
  private static final double MICROS_PER_MILLI = 1_000;
  private static final String STYLE =
      "body{font-family:sans-serif;max-width:60rem;margin:2rem auto;color:#222}"
          + "table{border-collapse:collapse;margin:1rem 0}"
          + "td,th{padding:.25rem .7rem;border-bottom:1px solid #ddd;text-align:right}"
          + "td:first-child,th:first-child{text-align:left}.bad{color:#b00020}";

  private final StringBuilder html = new StringBuilder();

  private HtmlReport() {}

  /** Returns the page for one or more runs of a scenario. */
  static String of(List<LoadReport> reports) {
    HtmlReport page = new HtmlReport();
    page.html
        .append("<!DOCTYPE html><html lang=\"en\"><meta charset=\"utf-8\"><title>Load report: ")
        .append(escape(reports.get(0).scenario()))
        .append("</title><style>")
        .append(STYLE)
        .append("</style><h1>Load report: ")
        .append(escape(reports.get(0).scenario()))
        .append("</h1>");
    page.comparison(reports);
    reports.forEach(page::run);
    return page.html.append("</html>\n").toString();
  }

  private void comparison(List<LoadReport> reports) {
    if (reports.size() < 2) {
      return;
    }
    html.append("<h2>Runs</h2>");
    header("run", "offered", "goodput", "token goodput", "wasted prefill", "p50 ms", "p99 ms");
    for (LoadReport report : reports) {
      row(
          report.mode(),
          Long.toString(report.total().offered()),
          percent(report.total().goodput()),
          percent(report.total().tokenGoodput()),
          percent(report.prefill().wastedShare()),
          millis(report.total().latencyMicros().p50()),
          millis(report.total().latencyMicros().p99()));
    }
    html.append("</table>");
  }

  private void run(LoadReport report) {
    html.append("<h2>Run: ").append(escape(report.mode())).append("</h2><p>");
    html.append(
        String.format(
            Locale.ROOT,
            "%.0f s measured, %d requests, %d repeats, goodput %s, wasted prefill %s of %d tokens.",
            report.measuredSeconds(),
            report.total().offered(),
            report.repeats(),
            percent(report.total().goodput()),
            percent(report.prefill().wastedShare()),
            report.prefill().tokens()));
    html.append("</p>");
    groups("Tiers", report.tiers());
    groups("Request classes", report.classes());
    counts("Requests without a complete answer, by last error kind", report.refusals());
    counts("Attempts by error kind", report.attempts());
    tokens(report);
    violations(report);
    charts(report);
  }

  private void groups(String title, List<GroupReport> groups) {
    html.append("<h3>").append(title).append("</h3>");
    header(
        "name",
        "offered",
        "in time",
        "late",
        "goodput",
        "token goodput",
        "p50 ms",
        "p95 ms",
        "p99 ms",
        "first token p95 ms");
    for (GroupReport group : groups) {
      row(
          group.name(),
          Long.toString(group.offered()),
          Long.toString(group.good()),
          Long.toString(group.late()),
          percent(group.goodput()),
          percent(group.tokenGoodput()),
          millis(group.latencyMicros().p50()),
          millis(group.latencyMicros().p95()),
          millis(group.latencyMicros().p99()),
          millis(group.firstTokenMicros().p95()));
    }
    html.append("</table>");
  }

  private void counts(String title, Map<String, Long> counts) {
    html.append("<h3>").append(title).append("</h3>");
    if (counts.isEmpty()) {
      html.append("<p>None.</p>");
      return;
    }
    header("kind", "count");
    counts.forEach((kind, count) -> row(kind, Long.toString(count)));
    html.append("</table>");
  }

  private void tokens(LoadReport report) {
    Percentiles gaps = report.betweenTokensMicros();
    html.append(
        String.format(
            Locale.ROOT,
            "<p>Between tokens: %d gaps, p50 %s ms, p95 %s ms, p99 %s ms.</p>",
            gaps.count(),
            millis(gaps.p50()),
            millis(gaps.p95()),
            millis(gaps.p99())));
  }

  private void violations(LoadReport report) {
    html.append("<h3>Invariants</h3>");
    header("invariant", "violations");
    report.violations().forEach((invariant, count) -> row(invariant, Integer.toString(count)));
    html.append("</table>");
    for (Violation violation : report.firstViolations()) {
      html.append("<p class=\"bad\">")
          .append(escape(violation.invariant() + " " + violation.subject()))
          .append(": ")
          .append(escape(violation.detail()))
          .append("</p>");
    }
  }

  private void charts(LoadReport report) {
    html.append("<h3>Latency over time (ms)</h3>");
    html.append(
        new LineChart(
                "Latency over time",
                "intended start (s)",
                List.of(
                    series(report, "p50", TimelinePoint::p50Millis),
                    series(report, "p95", TimelinePoint::p95Millis),
                    series(report, "p99", TimelinePoint::p99Millis)))
            .toSvg());
    html.append("<h3>Goodput over time by tier</h3>");
    html.append(new LineChart("Goodput over time", "intended start (s)", goodput(report)).toSvg());
    html.append("<h3>Offered requests per second</h3>");
    html.append(
        new LineChart(
                "Offered requests",
                "intended start (s)",
                List.of(series(report, "offered", TimelinePoint::offered)))
            .toSvg());
  }

  private static List<LineChart.Series> goodput(LoadReport report) {
    Map<String, List<LineChart.Point>> byTier = new TreeMap<>();
    for (TimelinePoint point : report.timeline()) {
      point
          .goodputByTier()
          .forEach(
              (tier, goodput) ->
                  byTier
                      .computeIfAbsent(tier, unused -> new ArrayList<>())
                      .add(new LineChart.Point(point.second(), goodput)));
    }
    List<LineChart.Series> series = new ArrayList<>();
    byTier.forEach((tier, points) -> series.add(new LineChart.Series(tier, points)));
    return series;
  }

  private static LineChart.Series series(
      LoadReport report, String name, ToDoubleFunction<TimelinePoint> value) {
    return new LineChart.Series(
        name,
        report.timeline().stream()
            .map(point -> new LineChart.Point(point.second(), value.applyAsDouble(point)))
            .toList());
  }

  private void header(String... cells) {
    html.append("<table><tr>");
    for (String cell : cells) {
      html.append("<th>").append(cell).append("</th>");
    }
    html.append("</tr>");
  }

  private void row(String... cells) {
    html.append("<tr>");
    for (String cell : cells) {
      html.append("<td>").append(escape(cell)).append("</td>");
    }
    html.append("</tr>");
  }

  private static String percent(double share) {
    return String.format(Locale.ROOT, "%.2f%%", share * 100);
  }

  private static String millis(long micros) {
    return String.format(Locale.ROOT, "%.1f", micros / MICROS_PER_MILLI);
  }

  private static String escape(String text) {
    return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
  }
}
