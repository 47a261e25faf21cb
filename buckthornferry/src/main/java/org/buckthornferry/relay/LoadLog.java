package org.buckthornferry.relay;

import java.util.Collection;
import org.jboss.logging.Logger;

/** Logs what an instance did since the last line, so that heavy times can be told apart later. */
final class LoadLog {
  private static final Logger LOG = Logger.getLogger(LoadLog.class);

  private final RelayMetrics metrics;
  private Totals last = new Totals(0, 0, 0, 0, 0, 0);

  private record Totals(
      long admitted,
      long sent,
      long repeated,
      long reservationsRefused,
      long placed,
      long placedWithKnownSpeed) {}

  LoadLog(RelayMetrics metrics) {
    this.metrics = metrics;
  }

  /** Writes a line unless nothing has happened. */
  void write(Collection<ServiceQueue> queues, int inProgress) {
    int waiting = queues.stream().mapToInt(ServiceQueue::waiting).sum();
    Totals now =
        new Totals(
            metrics.admitted.getCount(),
            metrics.sent.getCount(),
            metrics.repeated.getCount(),
            metrics.reservationsRefused.getCount(),
            queues.stream().mapToLong(ServiceQueue::placed).sum(),
            queues.stream().mapToLong(ServiceQueue::placedWithKnownSpeed).sum());
    if (now.equals(last) && inProgress == 0) {
      return;
    }
    LOG.infof(
        "relay.load admitted=%d sent=%d repeated=%d reservationsRefused=%d placed=%d"
            + " placedWithKnownSpeed=%d waiting=%d inProgress=%d",
        now.admitted - last.admitted,
        now.sent - last.sent,
        now.repeated - last.repeated,
        now.reservationsRefused - last.reservationsRefused,
        now.placed - last.placed,
        now.placedWithKnownSpeed - last.placedWithKnownSpeed,
        waiting,
        inProgress);
    last = now;
  }
}
