package org.buckthornferry.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The latest crashes of endpoint processes with the requests that may have caused them. */
final class CrashLog {
  /** Maximum number of processes kept; the one that was added first is dropped. */
  private static final int MAX_PROCESSES = 256;

  /** Maximum number of requests kept for each process; far more than endpoints run at a time. */
  private static final int MAX_REQUESTS = 64;

  private final LinkedHashMap<String, Crash> byProcess = new LinkedHashMap<>();

  /**
   * The crash of one process.
   *
   * @param endedNanos when an instance first observed it
   */
  record Crash(String processKey, long endedNanos, Map<String, SuspectRequest> byContent) {
    Crash {
      byContent = Map.copyOf(byContent);
    }

    Crash(String processKey, long endedNanos, Collection<SuspectRequest> requests) {
      this(processKey, endedNanos, merged(Map.of(), requests));
    }

    Collection<SuspectRequest> requests() {
      return byContent.values();
    }

    private Crash union(Crash other) {
      long firstNanos = other.endedNanos - endedNanos < 0 ? other.endedNanos : endedNanos;
      return new Crash(processKey, firstNanos, merged(byContent, other.requests()));
    }

    private static Map<String, SuspectRequest> merged(
        Map<String, SuspectRequest> known, Collection<SuspectRequest> more) {
      Map<String, SuspectRequest> all = new LinkedHashMap<>(known);
      for (SuspectRequest request : more) {
        if (all.size() < MAX_REQUESTS || all.containsKey(request.contentHash())) {
          all.merge(
              request.contentHash(), request, (a, b) -> b.sentNanos() - a.sentNanos() > 0 ? b : a);
        }
      }
      return all;
    }
  }

  /** Adds a crash, or its requests if the process is known. */
  void add(Crash crash) {
    byProcess.merge(crash.processKey, crash, Crash::union);
    if (byProcess.size() > MAX_PROCESSES) {
      byProcess.remove(byProcess.keySet().iterator().next());
    }
  }

  /** Forgets a process, which has turned out to be alive. */
  void remove(String processKey) {
    byProcess.remove(processKey);
  }

  /** Returns the crashes since a time, and forgets the others. */
  List<Crash> since(long fromNanos) {
    byProcess.values().removeIf(crash -> crash.endedNanos - fromNanos < 0);
    return new ArrayList<>(byProcess.values());
  }

  boolean contains(String processKey) {
    return byProcess.containsKey(processKey);
  }
}
