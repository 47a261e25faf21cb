package org.buckthornferry.fleet;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.buckthornferry.endpoint.Verdict;

/** The processes of endpoints that have ended under one content, with the times. Immutable. */
final class ContentCrashes {
  /** Nothing is held against the content. */
  static final ContentCrashes NONE = new ContentCrashes(Map.of());

  /** Processes that have to end under a content until it is no chance that it was there. */
  private static final int QUARANTINE_PROCESSES = 3;

  /**
   * Requests that were all on their way when the first of their endpoints ended make one occasion.
   * When endpoints end for another reason, a content that many ask for is at all of them.
   */
  private static final int QUARANTINE_OCCASIONS = 2;

  /** The most processes that are remembered; more are not needed for a verdict. */
  private static final int MAX_PROCESSES = 8;

  private final Map<String, Crash> byProcess;

  /**
   * The end of a process, by the time of day of the instance that saw it.
   *
   * @param sentEpochMillis when the request was sent to it
   */
  record Crash(long sentEpochMillis, long endedEpochMillis) {}

  private ContentCrashes(Map<String, Crash> byProcess) {
    this.byProcess = byProcess;
  }

  /**
   * Returns the crash of one process.
   *
   * @param process the id of an endpoint with the start of its process
   */
  static ContentCrashes of(String process, Crash crash) {
    return new ContentCrashes(Map.of(process, crash));
  }

  /** Returns the crashes of both. */
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

  int processes() {
    return byProcess.size();
  }

  /** Returns whether these crashes include the processes of the others. */
  boolean includes(ContentCrashes other) {
    return byProcess.keySet().containsAll(other.byProcess.keySet());
  }

  Map<String, Crash> byProcess() {
    return Map.copyOf(byProcess);
  }

  Verdict verdict() {
    if (processes() >= QUARANTINE_PROCESSES && occasions() >= QUARANTINE_OCCASIONS) {
      return Verdict.QUARANTINED;
    }
    return isEmpty() ? Verdict.CLEAR : Verdict.SUSPECT;
  }

  private int occasions() {
    List<Crash> inOrder =
        byProcess.values().stream()
            .sorted(Comparator.comparingLong(Crash::endedEpochMillis))
            .toList();
    int occasions = 0;
    long endedMillis = Long.MIN_VALUE;
    for (Crash crash : inOrder) {
      if (crash.sentEpochMillis >= endedMillis) {
        occasions++;
        endedMillis = crash.endedEpochMillis;
      }
    }
    return occasions;
  }

  @Override
  public String toString() {
    return byProcess.toString();
  }
}
