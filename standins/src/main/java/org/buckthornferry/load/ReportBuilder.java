package org.buckthornferry.load;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.HdrHistogram.Histogram;
import org.buckthornferry.admission.Tier;

/** Computes the report of a run from its records. */
final class ReportBuilder {
  private static final int PRECISION_DIGITS = 3;
  private static final int MAX_FULL_VIOLATIONS = 50;
  private static final double MICROS_PER_MILLI = 1_000;

  private ReportBuilder() {}

  static LoadReport build(LoadResult result) {
    List<RequestRecord> measured =
        result.history().requests().stream().filter(RequestRecord::measured).toList();
    List<Violation> violations = HistoryChecker.check(result.history());
    return new LoadReport(
        result.scenario().name(),
        result.mode(),
        result.scenario().phases().stream()
            .filter(Phase::measured)
            .mapToDouble(Phase::seconds)
            .sum(),
        group("all", measured),
        tiers(measured),
        groups(measured, RequestRecord::className),
        refusals(measured),
        attempts(measured),
        measured.stream().mapToLong(r -> Math.max(0, r.attempts().size() - 1)).sum(),
        result.betweenTokensMicros(),
        result.prefill(),
        HistoryChecker.count(violations),
        violations.stream().limit(MAX_FULL_VIOLATIONS).toList(),
        timeline(measured));
  }

  static GroupReport group(String name, List<RequestRecord> requests) {
    List<RequestRecord> good = requests.stream().filter(RequestRecord::isGood).toList();
    List<RequestRecord> complete =
        requests.stream().filter(r -> r.outcome() == Outcome.COMPLETE).toList();
    Map<Outcome, Long> outcomes = new EnumMap<>(Outcome.class);
    requests.forEach(request -> outcomes.merge(request.outcome(), 1L, Long::sum));
    return new GroupReport(
        name,
        requests.size(),
        good.size(),
        complete.size() - good.size(),
        ratio(good.size(), requests.size()),
        ratio(costTokens(good), costTokens(requests)),
        outcomes,
        percentiles(complete.stream().map(RequestRecord::latencyMicros).toList()),
        percentiles(
            complete.stream()
                .map(RequestRecord::firstTokenMicros)
                .filter(micros -> micros > 0)
                .toList()));
  }

  static double ratio(long part, long whole) {
    return whole == 0 ? 0 : (double) part / whole;
  }

  private static List<GroupReport> tiers(List<RequestRecord> requests) {
    List<GroupReport> reports = new ArrayList<>();
    for (Tier tier : Tier.values()) {
      List<RequestRecord> ofTier = requests.stream().filter(r -> r.tier() == tier).toList();
      if (!ofTier.isEmpty()) {
        reports.add(group(label(tier), ofTier));
      }
    }
    return reports;
  }

  private static List<GroupReport> groups(
      List<RequestRecord> requests, Function<RequestRecord, String> key) {
    Map<String, List<RequestRecord>> groups =
        requests.stream().collect(Collectors.groupingBy(key, TreeMap::new, Collectors.toList()));
    List<GroupReport> reports = new ArrayList<>();
    groups.forEach((name, ofGroup) -> reports.add(group(name, ofGroup)));
    return reports;
  }

  private static Map<String, Long> refusals(List<RequestRecord> requests) {
    Map<String, Long> counts = new TreeMap<>();
    for (RequestRecord request : requests) {
      if (request.outcome() != Outcome.COMPLETE) {
        counts.merge(lastErrorKind(request), 1L, Long::sum);
      }
    }
    return counts;
  }

  private static String lastErrorKind(RequestRecord request) {
    if (request.outcome() == Outcome.GAVE_UP || request.outcome() == Outcome.MISMATCHED) {
      return request.outcome().name();
    }
    return request.attempts().get(request.attempts().size() - 1).errorKind();
  }

  private static Map<String, Long> attempts(List<RequestRecord> requests) {
    Map<String, Long> counts = new TreeMap<>();
    for (RequestRecord request : requests) {
      for (AttemptRecord attempt : request.attempts()) {
        counts.merge(attempt.errorKind().isEmpty() ? "OK" : attempt.errorKind(), 1L, Long::sum);
      }
    }
    return counts;
  }

  private static List<TimelinePoint> timeline(List<RequestRecord> requests) {
    Map<Integer, List<RequestRecord>> bySecond =
        requests.stream()
            .collect(
                Collectors.groupingBy(
                    r -> (int) TimeUnit.MICROSECONDS.toSeconds(r.intendedOffsetMicros()),
                    TreeMap::new,
                    Collectors.toList()));
    List<TimelinePoint> points = new ArrayList<>();
    bySecond.forEach((second, inSecond) -> points.add(point(second, inSecond)));
    return points;
  }

  private static TimelinePoint point(int second, List<RequestRecord> requests) {
    Map<String, Double> goodput = new TreeMap<>();
    tiers(requests).forEach(tier -> goodput.put(tier.name(), tier.goodput()));
    Percentiles latency = group("second", requests).latencyMicros();
    return new TimelinePoint(
        second,
        requests.size(),
        goodput,
        latency.p50() / MICROS_PER_MILLI,
        latency.p95() / MICROS_PER_MILLI,
        latency.p99() / MICROS_PER_MILLI);
  }

  private static Percentiles percentiles(List<Long> micros) {
    Histogram histogram = new Histogram(PRECISION_DIGITS);
    micros.forEach(value -> histogram.recordValue(Math.max(0, value)));
    return Percentiles.of(histogram);
  }

  private static long costTokens(List<RequestRecord> requests) {
    return requests.stream().mapToLong(RequestRecord::costTokens).sum();
  }

  private static String label(Tier tier) {
    return tier.name().toLowerCase(Locale.ROOT);
  }
}
