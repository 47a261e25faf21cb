package org.buckthornferry.relay;

import java.util.Collection;
import org.jboss.logging.Logger;

/** Logs the request counts of an instance since the previous line, to identify load peaks later. */
final class LoadLog {
  private static final Logger LOG = Logger.getLogger(LoadLog.class);

  private final RelayMetrics metrics;
  private Totals previous = new Totals(0, 0, 0, 0, 0, 0);

  private record Totals(
      long admitted,
      long sent,
      long retried,
      long reservationsRefused,
      long placed,
      long placedWithKnownSpeed) {}

  LoadLog(RelayMetrics metrics) {
    this.metrics = metrics;
  }

  /** Writes a line unless the instance has been idle since the previous one. */
  void write(Collection<ServiceQueue> queues, int inProgress) {
    int waiting = queues.stream().mapToInt(ServiceQueue::waiting).sum();
    Totals now =
        new Totals(
            metrics.admitted.getCount(),
            metrics.sent.getCount(),
            metrics.retried.getCount(),
            metrics.reservationsRefused.getCount(),
            queues.stream().mapToLong(ServiceQueue::placed).sum(),
            queues.stream().mapToLong(ServiceQueue::placedWithKnownSpeed).sum());
    if (now.equals(previous) && inProgress == 0) {
      return;
    }
    LOG.infof(
        "relay.load admitted=%d sent=%d repeated=%d reservationsRefused=%d placed=%d"
            + " placedWithKnownSpeed=%d waiting=%d inProgress=%d",
        now.admitted - previous.admitted,
        now.sent - previous.sent,
        now.retried - previous.retried,
        now.reservationsRefused - previous.reservationsRefused,
        now.placed - previous.placed,
        now.placedWithKnownSpeed - previous.placedWithKnownSpeed,
        waiting,
        inProgress);
    previous = now;
  }
}
