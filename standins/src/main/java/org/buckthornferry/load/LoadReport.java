package org.buckthornferry.load;

import java.util.List;
import java.util.Map;

/**
 * The measures of one run.
 *
 * @param mode {@code entries}, or the policy of a direct run
 * @param total all measured requests
 * @param refusals the requests by the error kind of their last answer
 * @param attempts the sendings by error kind; {@code OK} counts successes
 * @param betweenTokensMicros the times between two tokens of a stream
 * @param violations the violations of each checked invariant
 * @param firstViolations the first violations in full
 */
public record LoadReport(
    String scenario,
    String mode,
    double measuredSeconds,
    GroupReport total,
    List<GroupReport> tiers,
    List<GroupReport> classes,
    Map<String, Long> refusals,
    Map<String, Long> attempts,
    long repeats,
    Percentiles betweenTokensMicros,
    PrefillCount prefill,
    Map<String, Integer> violations,
    List<Violation> firstViolations,
    List<TimelinePoint> timeline) {}
