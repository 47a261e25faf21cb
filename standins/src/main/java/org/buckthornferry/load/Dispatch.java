package org.buckthornferry.load;

import java.util.ArrayList;
import java.util.List;
import org.buckthornferry.standin.EndpointLog;
import org.buckthornferry.standin.RunLogEntry;

/** A new request that an endpoint received. */
record Dispatch(EndpointLog endpoint, RunLogEntry entry) {
  private static final String DISPATCH = "dispatch";
  private static final String DONE = "done";

  /** Returns all dispatches; moved streams are not among them. */
  static List<Dispatch> of(List<EndpointLog> endpoints) {
    List<Dispatch> dispatches = new ArrayList<>();
    for (EndpointLog endpoint : endpoints) {
      for (RunLogEntry entry : endpoint.entries()) {
        if (entry.kind().equals(DISPATCH)) {
          dispatches.add(new Dispatch(endpoint, entry));
        }
      }
    }
    return dispatches;
  }

  long startMillis() {
    return entry.startMillis();
  }

  boolean isDone() {
    return entry.outcome().equals(DONE);
  }

  /** Returns whether this dispatch was still running at a time. */
  boolean runsAt(long atMillis) {
    return startMillis() < atMillis && (entry.endMillis() == 0 || entry.endMillis() > atMillis);
  }

  String describe() {
    return entry.requestId() + " at " + endpoint.endpointId() + " " + entry.startMillis();
  }
}
