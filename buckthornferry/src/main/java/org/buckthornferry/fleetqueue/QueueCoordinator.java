package org.buckthornferry.fleetqueue;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.util.Map;
import java.util.function.Function;
import org.buckthornferry.control.Blackboard;
import org.buckthornferry.fleet.PeerCaller;
import org.buckthornferry.util.MonotonicClock;
import org.buckthornferry.util.Scheduler;

/**
 * Serves the fleet-wide queues that this instance coordinates: takes the calls of instances, lets
 * {@link FleetQueue} decide, and pushes decisions that are made later. Used by one thread.
 */
public final class QueueCoordinator {
  /**
   * Creates a coordinator of no queue.
   *
   * @param incarnation a random number that identifies this process
   * @param queues creates the queue of a service
   */
  public QueueCoordinator(
      Blackboard blackboard,
      PeerCaller peers,
      String selfId,
      long incarnation,
      Function<String, FleetQueue> queues,
      Scheduler scheduler,
      MonotonicClock clock,
      MetricRegistry registry) {}

  /** Handles a QUEUE call. */
  public byte[] answer(byte[] message) throws IOException {
    return new byte[0];
  }

  /** Applies changed endpoints and instances to the queues. */
  public void refresh() {}

  /** Ends all timers. */
  public void stop() {}

  /** Returns the state of each queue by service, for the state dump. */
  public Map<String, String> describe() {
    return Map.of();
  }
}
