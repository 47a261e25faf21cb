package org.buckthornferry.fleetqueue;

import java.io.IOException;
import org.buckthornferry.control.Blackboard;
import org.buckthornferry.fleet.PeerCaller;
import org.buckthornferry.util.MonotonicClock;
import org.buckthornferry.util.Scheduler;

/** The queue clients of an instance, by service. Used by one thread. */
public final class QueueClients {
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
      MonotonicClock clock) {}

  /** Creates the client of a service; replaces a stopped one. */
  public QueueClient create(String service, QueueClient.Listener listener) {
    return new QueueClient(listener);
  }

  /** Handles a QUEUE_DECISIONS call. */
  public byte[] answer(byte[] message) throws IOException {
    return new byte[0];
  }

  /** Applies a change of the instances. */
  public void refresh() {}
}
