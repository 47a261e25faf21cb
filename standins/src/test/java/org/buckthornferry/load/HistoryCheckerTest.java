package org.buckthornferry.load;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.buckthornferry.admission.Tier;
import org.buckthornferry.standin.EndpointLog;
import org.buckthornferry.standin.RunLogEntry;
import org.junit.jupiter.api.Test;

/** Plants each violation; a checker that misses one would report a broken system as clean. */
class HistoryCheckerTest {
  private static final RequestRecord DONE =
      Records.request("a", Tier.CRITICAL, Outcome.COMPLETE, 5, Records.attempt("", false));
  private static final RequestRecord REFUSED =
      Records.request("b", Tier.BULK, Outcome.REFUSED, 5, Records.attempt("SHED", true));

  /** Guards against false alarms. */
  @Test
  void cleanHistoryHasNoViolation() {
    EndpointLog log =
        Records.log(
            "e1",
            "kol-a",
            5_000,
            Records.run("r1", "hash-a", 6_999, "done"),
            Records.run("r2", "x", 100, 200, true, 2, "done"));
    List<HistoryEvent> events = List.of(new HistoryEvent("drained", "kol-a", 5_000));
    assertThat(check(List.of(DONE, REFUSED), log, Map.of("hash-a", 1), events)).isEmpty();
  }

  /** Guards against a missed second dispatch of one request id. */
  @Test
  void sameRequestIdTwiceBreaksP1() {
    assertThat(checkRuns(run("r1", 0, "crashed"), run("r1", 50, "crashed"))).contains("P1");
  }

  /** Guards against a missed dispatch while the first one still ran. */
  @Test
  void repeatWhileTheFirstRunsBreaksP1() {
    assertThat(checkRuns(run("r1", 0, "cancelled"), run("r2", 5, "crashed"))).contains("P1");
  }

  /** Guards against a missed dispatch after the first one was done. */
  @Test
  void repeatAfterDoneBreaksP1() {
    assertThat(checkRuns(run("r1", 0, "done"), run("r2", 50, "done"))).contains("P1");
  }

  /** Guards against an alarm for a caller's repeat after a failure, which is a new request. */
  @Test
  void repeatAfterFailureKeepsP1() {
    assertThat(checkRuns(run("r1", 0, "crashed"), run("r2", 50, "crashed"))).doesNotContain("P1");
  }

  /** Guards against an alarm when the dispatch of an idempotent request was reported as failed. */
  @Test
  void repeatAfterReportedFailureKeepsP1() {
    RequestRecord failedOnce =
        Records.idempotent(
            "a", Records.attempt("ENDPOINT_FAILED", false), Records.attempt("", false));
    EndpointLog log = log(run("r1", 0, "done"), run("r2", 50, "done"));
    assertThat(check(List.of(failedOnce), log, Map.of(), List.of())).isEmpty();
    EndpointLog thrice = log(run("r1", 0, "done"), run("r2", 50, "done"), run("r3", 90, "done"));
    assertThat(check(List.of(failedOnce), thrice, Map.of(), List.of())).containsExactly("P1");
  }

  /** Guards against a missed overload of a cold endpoint. */
  @Test
  void loadAboveTheColdBoundBreaksP4() {
    assertThat(checkRuns(Records.run("r1", "x", 0, 9, true, 3, "done"))).containsExactly("P4");
  }

  /**
   * Guards against a missed dispatch to a drained failure domain, and an alarm after its return.
   */
  @Test
  void dispatchAfterTheDrainBreaksP5() {
    List<HistoryEvent> events =
        List.of(
            new HistoryEvent("drained", "kol-a", 1_000),
            new HistoryEvent("returned", "kol-a", 9_000));
    EndpointLog late = Records.log("e1", "kol-a", 0, Records.run("r1", "x", 3_001, "done"));
    EndpointLog other = Records.log("e2", "kol-b", 0, Records.run("r1", "x", 3_001, "done"));
    EndpointLog after = Records.log("e1", "kol-a", 0, Records.run("r1", "x", 9_500, "done"));
    assertThat(check(List.of(), late, Map.of(), events)).containsExactly("P5");
    assertThat(check(List.of(), other, Map.of(), events)).isEmpty();
    assertThat(check(List.of(), after, Map.of(), events)).isEmpty();
  }

  /** Guards against a missed wrong response. */
  @Test
  void mismatchBreaksP6() {
    assertThat(check(List.of(Records.mismatched("m")), log(), Map.of(), List.of()))
        .containsExactly("P6");
  }

  /** Guards against a missed untrue refusal, also when a log was cut and only the count is left. */
  @Test
  void refusedRequestThatRanBreaksP7() {
    assertThat(check(List.of(REFUSED), log(), Map.of("hash-b", 1), List.of()))
        .containsExactly("P7");
    assertThat(
            check(
                List.of(REFUSED), log(Records.run("r", "hash-b", 0, "done")), Map.of(), List.of()))
        .containsExactly("P7");
  }

  /** Guards against a missed second execution of a booking. */
  @Test
  void secondExecutionBreaksP8() {
    assertThat(check(List.of(DONE), log(), Map.of("hash-a", 2), List.of())).containsExactly("P8");
  }

  /** Guards against a missed dispatch to a leaving endpoint. */
  @Test
  void dispatchAfterLeavingBreaksP9() {
    EndpointLog log = Records.log("e1", "kol-a", 1_000, Records.run("r1", "x", 3_001, "done"));
    assertThat(check(List.of(), log, Map.of(), List.of())).containsExactly("P9");
  }

  private static RunLogEntry run(String requestId, long startMillis, String outcome) {
    return Records.run(requestId, "hash-a", startMillis, outcome);
  }

  private static List<String> checkRuns(RunLogEntry... entries) {
    return check(List.of(DONE), log(entries), Map.of(), List.of());
  }

  private static EndpointLog log(RunLogEntry... entries) {
    return Records.log("e1", "kol-a", 0, entries);
  }

  private static List<String> check(
      List<RequestRecord> requests,
      EndpointLog log,
      Map<String, Integer> executions,
      List<HistoryEvent> events) {
    History history = new History(requests, List.of(log), executions, events);
    return HistoryChecker.check(history).stream()
        .map(Violation::invariant)
        .distinct()
        .collect(Collectors.toList());
  }
}
