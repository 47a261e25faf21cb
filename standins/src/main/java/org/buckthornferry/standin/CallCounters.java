package org.buckthornferry.standin;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/** Counts calls by kind, by caller and by result. */
final class CallCounters {
  private static final int MAX_CALLERS = 1_000;

  private final Map<String, LongAdder> byKind = new ConcurrentHashMap<>();
  private final Map<String, LongAdder> byCaller = new ConcurrentHashMap<>();
  private final LongAdder refused = new LongAdder();

  /** The counts at one time. */
  record Snapshot(Map<String, Long> byKind, Map<String, Long> byCaller, long refused) {}

  void count(String kind, String caller) {
    byKind.computeIfAbsent(kind, unused -> new LongAdder()).increment();
    if (byCaller.size() < MAX_CALLERS || byCaller.containsKey(caller)) {
      byCaller.computeIfAbsent(caller, unused -> new LongAdder()).increment();
    }
  }

  void countRefused() {
    refused.increment();
  }

  Snapshot snapshot() {
    return new Snapshot(sums(byKind), sums(byCaller), refused.sum());
  }

  private static Map<String, Long> sums(Map<String, LongAdder> adders) {
    Map<String, Long> sums = new TreeMap<>();
    adders.forEach((name, adder) -> sums.put(name, adder.sum()));
    return sums;
  }
}
