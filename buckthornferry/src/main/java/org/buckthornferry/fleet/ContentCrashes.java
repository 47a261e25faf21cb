package org.buckthornferry.fleet;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.buckthornferry.endpoint.Verdict;

/** Endpoint processes that crashed while serving one content, with the times. Immutable. */
final class ContentCrashes {
  /** No crash is known. */
  static final ContentCrashes NONE = new ContentCrashes(Map.of());

  /** Crashed processes needed to quarantine a content; fewer may be coincidence. */
  private static final int MIN_QUARANTINE_PROCESSES = 3;

  /**
   * Separate incidents needed to quarantine a content. Requests that were all in flight when the
   * first of their endpoints crashed count as one incident, because a frequently requested content
   * is present at every endpoint when endpoints fail together for another reason.
   */
  private static final int MIN_QUARANTINE_INCIDENTS = 2;

  /** Maximum number of processes kept; more are not needed for a verdict. */
  private static final int MAX_PROCESSES = 8;

  private final Map<String, Crash> byProcess;

  /**
   * Crash of a process, by the time of day of the instance that observed it.
   *
   * @param sentEpochMillis when the request was sent to the process
   */
  record Crash(long sentEpochMillis, long endedEpochMillis) {}

  private ContentCrashes(Map<String, Crash> byProcess) {
    this.byProcess = byProcess;
  }

  /**
   * Returns the crash of one process.
   *
   * @param process endpoint id and start time of its process
   */
  static ContentCrashes of(String process, Crash crash) {
    return new ContentCrashes(Map.of(process, crash));
  }

  /** Returns the union of both sets of crashes, up to the maximum that is kept. */
  ContentCrashes union(ContentCrashes other) {
    TreeMap<String, Crash> all = new TreeMap<>(byProcess);
    for (Map.Entry<String, Crash> crash : other.byProcess.entrySet()) {
      if (all.size() < MAX_PROCESSES) {
        all.putIfAbsent(crash.getKey(), crash.getValue());
      }
    }
    return new ContentCrashes(all);
  }

  boolean isEmpty() {
    return byProcess.isEmpty();
  }

  int processCount() {
    return byProcess.size();
  }

  /** Returns whether these crashes cover all processes of {@code other}. */
  boolean includes(ContentCrashes other) {
    return byProcess.keySet().containsAll(other.byProcess.keySet());
  }

  Map<String, Crash> byProcess() {
    return Map.copyOf(byProcess);
  }

  Verdict verdict() {
    if (processCount() >= MIN_QUARANTINE_PROCESSES && incidents() >= MIN_QUARANTINE_INCIDENTS) {
      return Verdict.QUARANTINED;
    }
    return isEmpty() ? Verdict.CLEAR : Verdict.SUSPECT;
  }

  private int incidents() {
    List<Crash> inOrder =
        byProcess.values().stream()
            .sorted(Comparator.comparingLong(Crash::endedEpochMillis))
            .toList();
    int incidents = 0;
    long endedMillis = Long.MIN_VALUE;
    for (Crash crash : inOrder) {
      if (crash.sentEpochMillis >= endedMillis) {
        incidents++;
        endedMillis = crash.endedEpochMillis;
      }
    }
    return incidents;
  }

  @Override
  public String toString() {
    return byProcess.toString();
  }
}
