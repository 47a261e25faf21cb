package org.buckthornferry.scaling;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** The demand that the instances have reported. */
final class DemandReports {
  /**
   * Time for which the last known demand of an instance without a report counts, in milliseconds.
   * Its callers turn to other instances, but a few lost reports are no loss of demand.
   */
  private static final long KEEP_MILLIS = 4_000;

  /** The shortest time over which demand is computed, in seconds; delayed reports come in pairs. */
  private static final double MIN_SECONDS = 0.5;

  private final Map<String, Sender> senders = new HashMap<>();

  /** One instance. */
  private static final class Sender {
    private DemandMessages.Report report;
    private long reportNanos;
    private Map<String, DemandCounts> used;
    private long usedNanos;
    private Map<String, DemandRate> rates = Map.of();
  }

  /** Records a report. The counts of the first one are the basis for later ones. */
  void onReport(DemandMessages.Report report, long nowNanos) {
    Sender sender = senders.computeIfAbsent(report.senderId(), id -> new Sender());
    if (sender.used == null) {
      sender.used = report.counts();
      sender.usedNanos = nowNanos;
    }
    sender.report = report;
    sender.reportNanos = nowNanos;
  }

  /** Computes the demand since the last call, and drops instances that have gone. */
  void advance(Set<String> instanceIds, long nowNanos) {
    senders
        .entrySet()
        .removeIf(
            entry ->
                !instanceIds.contains(entry.getKey())
                    || nowNanos - entry.getValue().reportNanos
                        > TimeUnit.MILLISECONDS.toNanos(KEEP_MILLIS));
    senders.values().forEach(DemandReports::advance);
  }

  private static void advance(Sender sender) {
    double seconds = (sender.reportNanos - sender.usedNanos) / 1e9;
    if (seconds < MIN_SECONDS) {
      return;
    }
    Map<String, DemandRate> rates = new HashMap<>();
    sender
        .report
        .counts()
        .forEach(
            (service, counts) ->
                rates.put(
                    service,
                    counts.since(sender.used.getOrDefault(service, DemandCounts.NONE), seconds)));
    sender.rates = rates;
    sender.used = sender.report.counts();
    sender.usedNanos = sender.reportNanos;
  }

  /** Returns the demand for a service at the instances of a failure domain. */
  DemandRate demand(String serviceName, String failureDomain) {
    DemandRate sum = DemandRate.NONE;
    for (Sender sender : senders.values()) {
      if (sender.report.failureDomain().equals(failureDomain)) {
        sum = sum.plus(sender.rates.getOrDefault(serviceName, DemandRate.NONE));
      }
    }
    return sum;
  }
}
