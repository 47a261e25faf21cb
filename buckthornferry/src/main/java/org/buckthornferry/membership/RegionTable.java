package org.buckthornferry.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.buckthornferry.peer.RegionSummary;

/** Tracks which other regions are reachable, by the summaries of their representatives. */
final class RegionTable {
  /** A region is unreachable after this silence, when three relayed summaries are missing. */
  static final long SILENCE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(15);

  /** The interval at which summaries of a region are relayed inside this region. */
  static final long RELAY_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(5);

  private static final int MAX_REGIONS = 64;
  private static final int MAX_REPORTERS = 16;

  private final TreeMap<String, RegionRow> rows = new TreeMap<>();

  private record Reporter(long incarnation, long sequence, long heardNanos) {}

  private static final class RegionRow {
    final Map<String, Reporter> reporters = new TreeMap<>();
    RegionSummary lastSummary;
    long lastHeardNanos;
    long lastRelayNanos;

    RegionRow(long nowNanos) {
      lastHeardNanos = nowNanos;
      lastRelayNanos = nowNanos - RELAY_INTERVAL_NANOS;
    }
  }

  /** Starts expecting summaries of a region. */
  void expect(String region, long nowNanos) {
    if (rows.size() < MAX_REGIONS) {
      rows.computeIfAbsent(region, id -> new RegionRow(nowNanos));
    }
  }

  /** Stores a newer summary; returns whether to relay it inside this region. */
  boolean accept(RegionSummary summary, long nowNanos) {
    expect(summary.region(), nowNanos);
    RegionRow row = rows.get(summary.region());
    if (row == null || !isNewer(row, summary, nowNanos)) {
      return false;
    }
    row.lastSummary = summary;
    row.lastHeardNanos = nowNanos;
    if (nowNanos - row.lastRelayNanos < RELAY_INTERVAL_NANOS) {
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
      row.reporters.values().removeIf(other -> nowNanos - other.heardNanos > SILENCE_TIMEOUT_NANOS);
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
  RegionSummary lastSummary(String region) {
    RegionRow row = rows.get(region);
    return row == null ? null : row.lastSummary;
  }

  /** Returns the regions whose summaries have stopped for {@link #SILENCE_TIMEOUT_NANOS}. */
  List<String> silentRegions(long nowNanos) {
    List<String> silent = new ArrayList<>();
    rows.forEach(
        (region, row) -> {
          if (nowNanos - row.lastHeardNanos > SILENCE_TIMEOUT_NANOS) {
            silent.add(region);
          }
        });
    return silent;
  }

  /** Moves timestamps forward so that a pause of this process does not count as silence. */
  void excludePause(long pauseNanos) {
    for (RegionRow row : rows.values()) {
      row.lastHeardNanos += pauseNanos;
    }
  }

  List<String> regions() {
    return List.copyOf(rows.keySet());
  }
}
