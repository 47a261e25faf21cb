package org.buckthornferry.standin;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/** The bounded request log of an engine. Used by one thread. */
final class RunLog {
  private static final int MAX_ENTRIES = 50_000;

  private final Deque<EngineRun> runs = new ArrayDeque<>();
  private long dropped;

  void add(EngineRun run) {
    runs.addLast(run);
    if (runs.size() > MAX_ENTRIES) {
      runs.removeFirst();
      dropped++;
    }
  }

  long dropped() {
    return dropped;
  }

  List<RunLogEntry> entries() {
    List<RunLogEntry> entries = new ArrayList<>(runs.size());
    runs.forEach(run -> entries.add(run.toLogEntry()));
    return entries;
  }
}
