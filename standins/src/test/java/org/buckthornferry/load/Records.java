package org.buckthornferry.load;

import java.util.List;
import org.buckthornferry.admission.Tier;
import org.buckthornferry.config.ServiceKind;
import org.buckthornferry.standin.EndpointLog;
import org.buckthornferry.standin.RunLogEntry;

/** Builds records for the tests of reports and checks. */
final class Records {
  private Records() {}

  static RequestRecord request(
      String id, Tier tier, Outcome outcome, long latencyMillis, AttemptRecord... attempts) {
    return new RequestRecord(
        id,
        "class",
        ServiceKind.PLAIN,
        tier,
        "c",
        "/p",
        id,
        false,
        "hash-" + id,
        "steady",
        true,
        0,
        0,
        1_000,
        90,
        10,
        outcome,
        latencyMillis * 1_000,
        0,
        1,
        List.of(),
        List.of(attempts));
  }

  static RequestRecord idempotent(String id, AttemptRecord... attempts) {
    return new RequestRecord(
        id,
        "class",
        ServiceKind.MODEL,
        Tier.STANDARD,
        "c",
        "/p",
        id,
        true,
        "hash-" + id,
        "steady",
        true,
        0,
        0,
        1_000,
        90,
        10,
        Outcome.COMPLETE,
        5_000,
        0,
        1,
        List.of(),
        List.of(attempts));
  }

  static RequestRecord mismatched(String id) {
    return new RequestRecord(
        id,
        "class",
        ServiceKind.MODEL,
        Tier.STANDARD,
        "c",
        "/p",
        id,
        true,
        "hash-" + id,
        "steady",
        true,
        0,
        0,
        1_000,
        90,
        10,
        Outcome.MISMATCHED,
        5_000,
        0,
        1,
        List.of("crossed"),
        List.of(attempt("", false)));
  }

  static AttemptRecord attempt(String errorKind, boolean notRun) {
    return new AttemptRecord("t", 0, 1, errorKind.isEmpty() ? 200 : 503, errorKind, notRun, "", 0);
  }

  static RunLogEntry run(String requestId, String hash, long startMillis, String outcome) {
    return run(requestId, hash, startMillis, startMillis + 10, false, 1, outcome);
  }

  static RunLogEntry run(
      String requestId,
      String hash,
      long startMillis,
      long endMillis,
      boolean cold,
      int running,
      String outcome) {
    return new RunLogEntry(
        "dispatch",
        requestId,
        "/p",
        "",
        hash,
        1,
        0,
        1,
        1,
        "v1",
        cold,
        running,
        "",
        startMillis,
        endMillis,
        outcome);
  }

  static EndpointLog log(String id, String domain, long leavingSince, RunLogEntry... entries) {
    return new EndpointLog(id, domain, 2, leavingSince, 0, List.of(entries));
  }
}
