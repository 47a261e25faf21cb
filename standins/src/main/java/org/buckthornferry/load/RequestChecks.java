package org.buckthornferry.load;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Checks P6, P7 and P8 in the records of the callers. */
final class RequestChecks {
  private final List<RequestRecord> requests;
  private final Map<String, Integer> runsByHash;
  private final List<Violation> violations = new ArrayList<>();

  RequestChecks(History history, List<Dispatch> dispatches) {
    this.requests = history.requests();
    this.runsByHash = new HashMap<>(history.executions());
    Map<String, Integer> dispatched = new HashMap<>();
    for (Dispatch dispatch : dispatches) {
      dispatched.merge(dispatch.entry().promptHash(), 1, Integer::sum);
    }
    // A plain service counts an execution and logs it; the larger count is the true one.
    dispatched.forEach((hash, count) -> runsByHash.merge(hash, count, Math::max));
  }

  List<Violation> violations() {
    return violations;
  }

  /** P6: a response that claims success is whole and belongs to its request. */
  void checkResponses() {
    for (RequestRecord request : requests) {
      for (String mismatch : request.mismatches()) {
        add("P6", request, mismatch);
      }
    }
  }

  /** P7: a refusal that says "not run" is true. */
  void checkRefusals() {
    for (RequestRecord request : requests) {
      int runs = runsByHash.getOrDefault(request.contentHash(), 0);
      long mayHaveRun = request.attempts().stream().filter(a -> !a.notRun()).count();
      if (mayHaveRun == 0 && !request.attempts().isEmpty() && runs > 0) {
        add("P7", request, "every answer said not run, but it ran " + runs + " times");
      }
    }
  }

  /** P8: a request that is not idempotent runs at most once. */
  void checkSingleExecution() {
    for (RequestRecord request : requests) {
      int runs = runsByHash.getOrDefault(request.contentHash(), 0);
      if (!request.idempotent() && runs > 1) {
        add("P8", request, "ran " + runs + " times");
      }
    }
  }

  private void add(String invariant, RequestRecord request, String detail) {
    violations.add(new Violation(invariant, request.id(), detail));
  }
}
