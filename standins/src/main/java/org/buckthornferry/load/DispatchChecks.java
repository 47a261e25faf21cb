package org.buckthornferry.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

/** Checks P1, P4, P5 and P9 in the request logs of the endpoints. */
final class DispatchChecks {
  /** The time that a drain or a departure may take to reach every instance. */
  private static final long SPREAD_MILLIS = 2_000;

  private final List<Dispatch> dispatches;
  private final List<Violation> violations = new ArrayList<>();

  DispatchChecks(List<Dispatch> dispatches) {
    this.dispatches = dispatches;
  }

  List<Violation> violations() {
    return violations;
  }

  /** P1: a request is dispatched at most once. */
  void checkSingleDispatch(Map<String, RequestRecord> requestsByHash) {
    groups(dispatch -> dispatch.entry().requestId())
        .forEach(
            (requestId, same) -> {
              if (same.size() > 1) {
                add("P1", requestId, "dispatched " + same.size() + " times: " + describe(same));
              }
            });
    groups(dispatch -> dispatch.entry().promptHash())
        .forEach(
            (hash, same) -> {
              RequestRecord request = requestsByHash.get(hash);
              if (request != null && !request.idempotencyKey().isEmpty()) {
                checkRepeats(request, same);
              }
            });
  }

  /** P4: a cold endpoint never has more requests than its bound. */
  void checkColdBound() {
    for (Dispatch dispatch : dispatches) {
      int bound = dispatch.endpoint().coldBound();
      if (bound > 0 && dispatch.entry().cold() && dispatch.entry().running() > bound) {
        add(
            "P4",
            dispatch.endpoint().endpointId(),
            dispatch.entry().running() + " requests above the cold bound " + bound);
      }
    }
  }

  /** P5: a drained failure domain gets no new work. */
  void checkDrained(List<HistoryEvent> events) {
    for (HistoryEvent event : events) {
      if (!event.kind().equals("drained")) {
        continue;
      }
      long fromMillis = event.atMillis() + SPREAD_MILLIS;
      long toMillis = returnedMillis(event, events);
      for (Dispatch dispatch : dispatches) {
        boolean inDomain = dispatch.endpoint().failureDomain().equals(event.subject());
        if (inDomain && dispatch.startMillis() > fromMillis && dispatch.startMillis() < toMillis) {
          add("P5", event.subject(), late(dispatch, event.atMillis()));
        }
      }
    }
  }

  /** P9: a leaving endpoint gets no new work. */
  void checkLeaving() {
    for (Dispatch dispatch : dispatches) {
      long sinceMillis = dispatch.endpoint().leavingSinceMillis();
      if (sinceMillis > 0 && dispatch.startMillis() > sinceMillis + SPREAD_MILLIS) {
        add("P9", dispatch.endpoint().endpointId(), late(dispatch, sinceMillis));
      }
    }
  }

  private void checkRepeats(RequestRecord request, List<Dispatch> same) {
    if (same.size() <= 1 + request.failedDispatches()) {
      return;
    }
    List<Dispatch> ordered = new ArrayList<>(same);
    ordered.sort(Comparator.comparingLong(Dispatch::startMillis));
    for (int later = 1; later < ordered.size(); later++) {
      for (int earlier = 0; earlier < later; earlier++) {
        checkRepeat(request, ordered.get(earlier), ordered.get(later));
      }
    }
  }

  private void checkRepeat(RequestRecord request, Dispatch earlier, Dispatch later) {
    if (earlier.entry().requestId().equals(later.entry().requestId())) {
      return;
    }
    if (earlier.runsAt(later.startMillis())) {
      add("P1", request.id(), later.describe() + " while " + earlier.describe() + " ran");
    } else if (earlier.isDone()) {
      add("P1", request.id(), later.describe() + " after " + earlier.describe() + " was done");
    }
  }

  private Map<String, List<Dispatch>> groups(Function<Dispatch, String> key) {
    return dispatches.stream().collect(Collectors.groupingBy(key));
  }

  private void add(String invariant, String subject, String detail) {
    violations.add(new Violation(invariant, subject, detail));
  }

  private static long returnedMillis(HistoryEvent drained, List<HistoryEvent> events) {
    return events.stream()
        .filter(event -> event.kind().equals("returned"))
        .filter(event -> event.subject().equals(drained.subject()))
        .mapToLong(HistoryEvent::atMillis)
        .filter(atMillis -> atMillis > drained.atMillis())
        .min()
        .orElse(Long.MAX_VALUE);
  }

  private static String late(Dispatch dispatch, long sinceMillis) {
    long afterMillis = dispatch.startMillis() - sinceMillis;
    return dispatch.describe() + " is " + afterMillis + " ms late";
  }

  private static String describe(List<Dispatch> same) {
    return same.stream().map(Dispatch::describe).collect(Collectors.joining(", "));
  }
}
