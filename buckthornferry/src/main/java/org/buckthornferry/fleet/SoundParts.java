package org.buckthornferry.fleet;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/**
 * When an endpoint last began to answer a request with a part, and survived it. Bounded; the part
 * that was recorded longest ago is dropped.
 */
final class SoundParts {
  /** Maximum number of parts, about 150 bytes each. */
  private static final int MAX_PARTS = 8_192;

  private final LinkedHashMap<String, Long> lastBeginNanos = new LinkedHashMap<>();

  private OptionalLong newestBeginNanos = OptionalLong.empty();

  void record(Collection<String> partIds, long beginNanos) {
    if (newestBeginNanos.isEmpty() || beginNanos - newestBeginNanos.getAsLong() > 0) {
      newestBeginNanos = OptionalLong.of(beginNanos);
    }
    for (String partId : partIds) {
      Long known = lastBeginNanos.remove(partId);
      boolean isNewer = known == null || beginNanos - known > 0;
      lastBeginNanos.put(partId, isNewer ? beginNanos : known);
    }
    while (lastBeginNanos.size() > MAX_PARTS) {
      lastBeginNanos.remove(lastBeginNanos.keySet().iterator().next());
    }
  }

  int size() {
    return lastBeginNanos.size();
  }

  OptionalLong lastBeginNanos(String partId) {
    Long nanos = lastBeginNanos.get(partId);
    return nanos == null ? OptionalLong.empty() : OptionalLong.of(nanos);
  }

  /** Returns whether any request was answered by an endpoint that began at a time or later. */
  boolean hasAnswerSince(long fromNanos) {
    return newestBeginNanos.isPresent() && newestBeginNanos.getAsLong() - fromNanos >= 0;
  }

  /** Returns whether a part was answered by an endpoint that began at the given time or later. */
  boolean isSoundSince(String partId, long fromNanos) {
    Long nanos = lastBeginNanos.get(partId);
    return nanos != null && nanos - fromNanos >= 0;
  }

  /** Returns those of the parts that have not been answered since a time. */
  List<String> withoutAnswerSince(Collection<String> partIds, long fromNanos) {
    return partIds.stream().filter(partId -> !isSoundSince(partId, fromNanos)).toList();
  }

  /** Returns when each of the parts was last answered, without those that never were. */
  Map<String, Long> lastBegins(Collection<String> partIds) {
    Map<String, Long> known = new LinkedHashMap<>();
    for (String partId : partIds) {
      Long nanos = lastBeginNanos.get(partId);
      if (nanos != null) {
        known.put(partId, nanos);
      }
    }
    return known;
  }
}
