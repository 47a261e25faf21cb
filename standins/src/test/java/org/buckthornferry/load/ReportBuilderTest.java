package org.buckthornferry.load;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.buckthornferry.admission.Tier;
import org.junit.jupiter.api.Test;

class ReportBuilderTest {
  /** Guards against late or refused requests that count as goodput. */
  @Property(seed = "1", tries = 100)
  void goodputCountsOnlyWhatIsInFullAndInTime(
      @ForAll @IntRange(max = 20) int good,
      @ForAll @IntRange(max = 20) int late,
      @ForAll @IntRange(max = 20) int refused) {
    List<RequestRecord> records = new ArrayList<>();
    add(records, good, Outcome.COMPLETE, 1_000);
    add(records, late, Outcome.COMPLETE, 1_001);
    add(records, refused, Outcome.REFUSED, 1);
    GroupReport report = ReportBuilder.group("g", records);
    int offered = good + late + refused;
    assertThat(report.offered()).isEqualTo(offered);
    assertThat(report.good()).isEqualTo(good);
    assertThat(report.late()).isEqualTo(late);
    assertThat(report.goodput()).isWithin(1e-12).of(offered == 0 ? 0 : (double) good / offered);
    assertThat(report.latencyMicros().count()).isEqualTo(good + late);
  }

  /** Guards against a report that mixes tiers, drops refusals or counts the warm-up. */
  @Test
  void reportCountsByTierAndKind() {
    RequestRecord done =
        Records.request(
            "a",
            Tier.CRITICAL,
            Outcome.COMPLETE,
            10,
            Records.attempt("CONNECTION_LOST", false),
            Records.attempt("", false));
    RequestRecord shed =
        Records.request("b", Tier.BULK, Outcome.REFUSED, 10, Records.attempt("SHED", true));
    History history = new History(List.of(done, shed), List.of(), Map.of(), List.of());
    Scenario scenario =
        new Scenario(
            "s", 1, List.of(), Map.of(), 0, 0, List.of(), List.of(), List.of(), List.of(), null);
    LoadReport report =
        ReportBuilder.build(
            new LoadResult(
                scenario,
                "entries",
                history,
                new Percentiles(0, 0, 0, 0, 0, 0, 0),
                new PrefillCount(200, 50)));
    assertThat(report.tiers().stream().map(GroupReport::name).toList())
        .containsExactly("critical", "bulk")
        .inOrder();
    assertThat(report.tiers().get(0).goodput()).isEqualTo(1.0);
    assertThat(report.tiers().get(1).goodput()).isEqualTo(0.0);
    assertThat(report.refusals()).containsExactly("SHED", 1L);
    assertThat(report.attempts()).containsExactly("OK", 1L, "SHED", 1L, "CONNECTION_LOST", 1L);
    assertThat(report.repeats()).isEqualTo(1);
    assertThat(report.prefill().wastedShare()).isEqualTo(0.25);
    assertThat(HtmlReport.of(List.of(report))).contains("</svg>");
  }

  private static void add(List<RequestRecord> records, int count, Outcome outcome, long millis) {
    for (int i = 0; i < count; i++) {
      records.add(
          Records.request(
              outcome.name() + records.size(),
              Tier.STANDARD,
              outcome,
              millis,
              Records.attempt("", false)));
    }
  }
}
