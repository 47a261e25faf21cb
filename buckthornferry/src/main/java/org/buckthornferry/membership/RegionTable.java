package org.buckthornferry.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.buckthornferry.peer.RegionSummary;

/** Which other regions report, from the summaries of their representatives. */
final class RegionTable {
  /** The silence after which a region counts as cut off: three relayed summaries are missing. */
  static final long SILENT_NANOS = TimeUnit.SECONDS.toNanos(15);

  /** The time between two summaries of a region that are relayed inside this region. */
  static final long RELAY_NANOS = TimeUnit.SECONDS.toNanos(5);

  private static final int MAX_REGIONS = 64;
  private static final int MAX_REPORTERS = 16;

  private final TreeMap<String, RegionRow> rows = new TreeMap<>();

  private record Reporter(long incarnation, long sequence, long heardNanos) {}

  private static final class RegionRow {
    final Map<String, Reporter> reporters = new TreeMap<>();
    RegionSummary last;
    long lastHeardNanos;
    long lastRelayNanos;

    RegionRow(long nowNanos) {
      lastHeardNanos = nowNanos;
      lastRelayNanos = nowNanos - RELAY_NANOS;
    }
  }

  /** Starts to expect summaries of a region. */
  void expect(String region, long nowNanos) {
    if (rows.size() < MAX_REGIONS) {
      rows.computeIfAbsent(region, id -> new RegionRow(nowNanos));
    }
  }

  /** Takes a summary; returns whether it is to be relayed inside this region. */
  boolean accept(RegionSummary summary, long nowNanos) {
    expect(summary.region(), nowNanos);
    RegionRow row = rows.get(summary.region());
    if (row == null || !isNewer(row, summary, nowNanos)) {
      return false;
    }
    row.last = summary;
    row.lastHeardNanos = nowNanos;
    if (nowNanos - row.lastRelayNanos < RELAY_NANOS) {
      return false;
    }
    row.lastRelayNanos = nowNanos;
    return true;
  }

  private static boolean isNewer(RegionRow row, RegionSummary summary, long nowNanos) {
    Reporter known = row.reporters.get(summary.reporterId());
    boolean newer =
        known == null
            || summary.reporterIncarnation() > known.incarnation
            || (summary.reporterIncarnation() == known.incarnation
                && summary.sequence() > known.sequence);
    if (!newer) {
      return false;
    }
    if (known == null && row.reporters.size() >= MAX_REPORTERS) {
      row.reporters.values().removeIf(other -> nowNanos - other.heardNanos > SILENT_NANOS);
      if (row.reporters.size() >= MAX_REPORTERS) {
        return false;
      }
    }
    row.reporters.put(
        summary.reporterId(),
        new Reporter(summary.reporterIncarnation(), summary.sequence(), nowNanos));
    return true;
  }

  /** Returns the last summary of a region, or null. */
  RegionSummary lastOf(String region) {
    RegionRow row = rows.get(region);
    return row == null ? null : row.last;
  }

  /** Returns the regions that are silent. */
  List<String> silent(long nowNanos) {
    List<String> silent = new ArrayList<>();
    rows.forEach(
        (region, row) -> {
          if (nowNanos - row.lastHeardNanos > SILENT_NANOS) {
            silent.add(region);
          }
        });
    return silent;
  }

  /** Does not count a pause of this process as silence of the regions. */
  void shift(long pauseNanos) {
    for (RegionRow row : rows.values()) {
      row.lastHeardNanos += pauseNanos;
    }
  }

  List<String> regions() {
    return List.copyOf(rows.keySet());
  }
}
