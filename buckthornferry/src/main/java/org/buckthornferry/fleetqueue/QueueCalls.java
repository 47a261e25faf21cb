package org.buckthornferry.fleetqueue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.buckthornferry.control.Blackboard;
import org.buckthornferry.fleet.FleetView;
import org.buckthornferry.fleet.PeerCaller;
import org.buckthornferry.fleet.PeerMessageKind;
import org.buckthornferry.util.Completions;
import org.jboss.logging.Logger;

/** Calls of an instance to coordinators; the one of the same instance is called directly. */
final class QueueCalls {
  private static final Logger LOG = Logger.getLogger(QueueCalls.class);

  /**
   * Timeout of a call, in milliseconds. A reply takes about 2 ms, and up to 200 ms from a small
   * instance under load; instances that leave it then split the queue. A request that has waited
   * for the timeout can still meet its goal through another coordinator.
   */
  static final long TIMEOUT_MILLIS = 400;

  private final Blackboard blackboard;
  private final PeerCaller peers;
  private final String selfId;
  private final long incarnation;
  private final QueueCoordinator local;

  QueueCalls(
      Blackboard blackboard,
      PeerCaller peers,
      String selfId,
      long incarnation,
      QueueCoordinator local) {
    this.blackboard = blackboard;
    this.peers = peers;
    this.selfId = selfId;
    this.incarnation = incarnation;
    this.local = local;
  }

  String selfId() {
    return selfId;
  }

  long incarnation() {
    return incarnation;
  }

  FleetView fleet() {
    return blackboard.read(FleetView.ENTRY);
  }

  /** Calls a coordinator; the future fails if there is no reply in time. */
  CompletableFuture<QueueMessages.Reply> call(String coordinatorId, QueueMessages.Request request) {
    if (coordinatorId.equals(selfId)) {
      try {
        return CompletableFuture.completedFuture(local.handle(request));
      } catch (IOException e) {
        return CompletableFuture.failedFuture(e);
      }
    }
    InetSocketAddress address = fleet().addresses().get(coordinatorId);
    if (address == null) {
      return CompletableFuture.failedFuture(new IOException("the instance has left"));
    }
    byte[] message = QueueMessages.encodeRequest(request);
    return Completions.thenOnOutcome(
        peers.call(address, PeerMessageKind.QUEUE, message, TIMEOUT_MILLIS),
        (reply, failure) -> {
          if (failure != null) {
            return CompletableFuture.failedFuture(failure);
          }
          try {
            return CompletableFuture.completedFuture(QueueMessages.decodeReply(reply));
          } catch (IOException e) {
            return CompletableFuture.failedFuture(e);
          }
        });
  }

  /** Returns a call that states that this instance has no tickets at the coordinator. */
  QueueMessages.Request withoutTickets(
      String service, List<EndedRun> ended, Map<String, Integer> running) {
    return new QueueMessages.Request(
        selfId,
        incarnation,
        service,
        /* isComplete= */ true,
        List.of(),
        List.of(),
        ended,
        Optional.of(running));
  }

  /** Tells a coordinator that its tickets and the given decisions are not used. */
  void leave(
      String coordinatorId, String service, List<Decision> unused, Map<String, Integer> running) {
    List<EndedRun> ended =
        unused.stream().filter(Decision::isGranted).map(QueueCoordinator::unused).toList();
    Completions.onComplete(
        call(coordinatorId, withoutTickets(service, ended, running)),
        (reply, failure) -> {
          if (failure != null) {
            // The coordinator drops the tickets when this instance has not called for 3 s.
            LOG.infof(
                "queue.leave_not_told service=%s coordinator=%s reason=\"%s\"",
                service, coordinatorId, failure);
          }
        });
  }
}
