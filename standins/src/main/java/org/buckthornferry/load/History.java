package org.buckthornferry.load;

import java.util.List;
import java.util.Map;
import org.buckthornferry.standin.EndpointLog;

/**
 * What is known of a run: the requests as their callers saw them and the logs of the endpoints.
 *
 * @param executions the executions of the plain services by content hash
 */
public record History(
    List<RequestRecord> requests,
    List<EndpointLog> endpoints,
    Map<String, Integer> executions,
    List<HistoryEvent> events) {
  /** Copies the collections. */
  public History {
    requests = List.copyOf(requests);
    endpoints = List.copyOf(endpoints);
    executions = Map.copyOf(executions);
    events = List.copyOf(events);
  }
}
