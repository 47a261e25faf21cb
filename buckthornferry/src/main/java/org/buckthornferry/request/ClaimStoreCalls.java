package org.buckthornferry.request;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;

/** Counts the store calls made for claims, by kind. Used on the control thread only. */
public final class ClaimStoreCalls {
  /** The purpose of a store call. */
  public enum Kind {
    /** A compare-and-swap of the current journal segment. */
    COMMIT,
    /** A read of the current segment after a lost store response or a version conflict. */
    READ_BACK,
    /** A deletion of a segment older than two claim windows. */
    DELETE,
    /** A listing of a journal during takeover. */
    RECOVERY_LIST,
    /** A read of one segment during takeover. */
    RECOVERY_READ,
    /** A compare-and-swap that seals a journal. */
    SEAL
  }

  private final Map<Kind, Long> counts = new EnumMap<>(Kind.class);

  void count(Kind kind) {
    counts.merge(kind, 1L, Long::sum);
  }

  /** Returns the number of calls of a kind. */
  public long countOf(Kind kind) {
    return counts.getOrDefault(kind, 0L);
  }

  Map<String, Object> dump() {
    Map<String, Object> dump = new TreeMap<>();
    counts.forEach((kind, count) -> dump.put(kind.name(), count));
    return dump;
  }
}
