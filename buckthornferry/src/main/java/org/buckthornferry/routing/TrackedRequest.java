package org.buckthornferry.routing;

import java.util.HashSet;
import java.util.Set;
import org.buckthornferry.admission.QueueEntry;
import org.buckthornferry.endpoint.RouteCost;

/** The routing state of one request, from its submission to its end. */
final class TrackedRequest {
  final PendingRequest request;
  final RouteCost cost;
  final QueueEntry entry;
  final Set<String> refusedBy = new HashSet<>();
  State state = State.NEW;
  String endpointId = "";
  String version = "";
  long expectedCachedTokens;
  boolean moveRequested;
  boolean offeredToPeer;

  /** The stage of the request. */
  enum State {
    NEW,
    /** In the waiting queue. */
    QUEUED,
    /** Found the queue full, and no shed level in force permits shedding it; retried each tick. */
    OVERFLOW,
    /** Cannot meet its deadline, and no shed level in force permits shedding it yet. */
    LATE,
    /** Waits for an exclusive endpoint, because its content may have crashed one. */
    SUSPECT,
    /** Dispatched to an endpoint. */
    RUNNING
  }

  TrackedRequest(PendingRequest request, RouteCost cost, QueueEntry entry) {
    this.request = request;
    this.cost = cost;
    this.entry = entry;
  }

  String id() {
    return request.requestId();
  }
}
