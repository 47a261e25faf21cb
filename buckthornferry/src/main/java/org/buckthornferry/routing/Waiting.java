package org.buckthornferry.routing;

import java.util.HashSet;
import java.util.Set;
import org.buckthornferry.admission.QueueEntry;
import org.buckthornferry.endpoint.RouteCost;

/** A request that this instance holds, from its submission to its end. */
final class Waiting {
  final PendingRequest request;
  final RouteCost cost;
  final QueueEntry entry;
  final Set<String> refusedBy = new HashSet<>();
  Place place = Place.NEW;
  String endpointId = "";
  String version = "";
  long expectedCachedTokens;
  boolean moveAsked;
  boolean offeredToPeer;

  /** Where the request is. */
  enum Place {
    NEW,
    /** In the waiting queue. */
    QUEUED,
    /** The queue is full and no level permits to shed the request. */
    HELD,
    /** Can no longer end in time, and no level permits to shed the request. */
    LATE,
    /** Waits to run alone on an endpoint. */
    SUSPECT,
    /** Dispatched. */
    RUNNING
  }

  Waiting(PendingRequest request, RouteCost cost, QueueEntry entry) {
    this.request = request;
    this.cost = cost;
    this.entry = entry;
  }

  String id() {
    return request.requestId();
  }
}
