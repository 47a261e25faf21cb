package org.buckthornferry.load;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Checks the history of a run against the invariants of section 1.2 of the design page. */
public final class HistoryChecker {
  /** The invariants that a history can show to be broken. */
  public static final List<String> CHECKED = List.of("P1", "P4", "P5", "P6", "P7", "P8", "P9");

  private static final int EXIT_VIOLATED = 1;
  private static final int EXIT_USAGE = 2;
  private static final int MAX_PRINTED = 20;

  private HistoryChecker() {}

  /** Checks the directories that {@link LoadTool} has written; exits with 1 on a violation. */
  public static void main(String[] arguments) throws IOException {
    if (arguments.length == 0) {
      System.err.println("usage: HistoryChecker DIR...");
      System.exit(EXIT_USAGE);
    }
    boolean clean = true;
    for (String directory : arguments) {
      History history = HistoryFiles.read(Path.of(directory));
      List<Violation> violations = check(history);
      print(directory, history, violations);
      clean &= violations.isEmpty();
    }
    System.exit(clean ? 0 : EXIT_VIOLATED);
  }

  /** Returns every violation that the history shows. */
  public static List<Violation> check(History history) {
    List<Dispatch> dispatches = Dispatch.of(history.endpoints());
    DispatchChecks dispatchChecks = new DispatchChecks(dispatches);
    dispatchChecks.checkSingleDispatch(byHash(history.requests()));
    dispatchChecks.checkColdBound();
    dispatchChecks.checkDrained(history.events());
    dispatchChecks.checkLeaving();
    RequestChecks requestChecks = new RequestChecks(history, dispatches);
    requestChecks.checkResponses();
    requestChecks.checkRefusals();
    requestChecks.checkSingleExecution();
    List<Violation> violations = new ArrayList<>(dispatchChecks.violations());
    violations.addAll(requestChecks.violations());
    return violations;
  }

  /** Returns the number of violations of each checked invariant. */
  public static Map<String, Integer> count(List<Violation> violations) {
    Map<String, Integer> counts = new TreeMap<>();
    CHECKED.forEach(invariant -> counts.put(invariant, 0));
    violations.forEach(violation -> counts.merge(violation.invariant(), 1, Integer::sum));
    return counts;
  }

  private static Map<String, RequestRecord> byHash(List<RequestRecord> requests) {
    Map<String, RequestRecord> byHash = new HashMap<>();
    requests.forEach(request -> byHash.put(request.contentHash(), request));
    return byHash;
  }

  private static void print(String directory, History history, List<Violation> violations) {
    System.out.printf(
        "%s: %d requests, %d endpoint logs, violations %s%n",
        directory, history.requests().size(), history.endpoints().size(), count(violations));
    violations.stream()
        .limit(MAX_PRINTED)
        .forEach(v -> System.out.printf("  %s %s: %s%n", v.invariant(), v.subject(), v.detail()));
  }
}
