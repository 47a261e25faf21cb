package org.buckthornferry.fleetqueue;

import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;
import org.buckthornferry.control.Blackboard;
import org.buckthornferry.fleet.PeerCaller;
import org.buckthornferry.util.MonotonicClock;
import org.buckthornferry.util.Scheduler;

/** The queue clients of an instance, by service. Used by one thread. */
public final class QueueClients {
  private static final byte[] EMPTY_REPLY = new byte[0];

  private final QueueCalls calls;
  private final Scheduler scheduler;
  private final MonotonicClock clock;
  private final Map<String, QueueClient> clients = new TreeMap<>();

  /**
   * Creates an instance's clients, of which there are none yet.
   *
   * @param incarnation a random number that identifies this process
   * @param local the coordinator of this instance, called without the network
   */
  public QueueClients(
      Blackboard blackboard,
      PeerCaller peers,
      String selfId,
      long incarnation,
      QueueCoordinator local,
      Scheduler scheduler,
      MonotonicClock clock) {
    this.calls = new QueueCalls(blackboard, peers, selfId, incarnation, local);
    this.scheduler = scheduler;
    this.clock = clock;
    local.deliverLocallyTo(this::onPush);
  }

  /** Creates the client of a service; stops an earlier one. */
  public QueueClient create(String service, QueueClient.Listener listener) {
    QueueClient client = new QueueClient(service, listener, calls, scheduler, clock);
    QueueClient previous = clients.put(service, client);
    if (previous != null) {
      previous.stop();
    }
    return client;
  }

  /** Handles a QUEUE_DECISIONS call. */
  public byte[] answer(byte[] message) throws IOException {
    onPush(QueueMessages.decodePush(message));
    return EMPTY_REPLY;
  }

  private void onPush(QueueMessages.Push push) {
    QueueClient client = clients.get(push.service());
    if (client == null) {
      calls.leave(push.coordinatorId(), push.service(), push.decisions(), Map.of());
      return;
    }
    client.onPush(push);
  }

  /** Applies a change of the instances. */
  public void refresh() {
    clients.values().forEach(QueueClient::refresh);
  }

  /** Returns the state of each client by service, for the state dump. */
  public Map<String, String> describe() {
    Map<String, String> lines = new TreeMap<>();
    clients.forEach((service, client) -> lines.put(service, client.describe()));
    return lines;
  }
}
