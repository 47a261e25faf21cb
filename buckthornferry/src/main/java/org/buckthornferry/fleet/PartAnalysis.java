package org.buckthornferry.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.buckthornferry.fleet.CrashLog.Crash;

/**
 * Decides which parts of prompts explain the crashes of endpoints.
 *
 * <p>A part that crashes every endpoint which begins to answer it is never answered, so an answer
 * clears a part of all earlier crashes. Of the parts that remain, the one that explains most
 * crashes is blamed first; the crashes that it explains do not count against other parts, which
 * were only being served beside it. Crashes under one request that was sent several times may be
 * due to the rest of its content, so a part needs crashes under different requests.
 */
final class PartAnalysis {
  /** Crashed processes needed to blame a part. */
  private static final int MIN_PROCESSES = 3;

  /** Crashes needed that are not under the request with the most crashes. */
  private static final int MIN_PROCESSES_OF_OTHER_CONTENTS = 2;

  /** Crashes from which requests that were all sent before the first one suffice. */
  private static final int MIN_PROCESSES_AT_ONCE = 5;

  private final SoundParts soundParts;
  private final long nowNanos;
  private final long settleNanos;

  /**
   * Creates an analysis of what is known now.
   *
   * @param settleNanos how long a part must have gone without an answer since its first crash if it
   *     was answered before, or if all crashes came at once
   */
  PartAnalysis(SoundParts soundParts, long nowNanos, long settleNanos) {
    this.soundParts = soundParts;
    this.nowNanos = nowNanos;
    this.settleNanos = settleNanos;
  }

  /**
   * Returns the parts to blame, including those blamed before with what the crashes add to them.
   */
  List<PartBlame> blames(Collection<Crash> crashes, Collection<PartBlame> known) {
    List<Crash> unexplained = new ArrayList<>(crashes);
    List<PartBlame> blames = new ArrayList<>();
    for (PartBlame blame : known) {
      List<String> parts = blame.remainingParts(soundParts);
      if (parts.size() > 1) {
        refined(parts, crashes)
            .ifPresent(
                refined -> {
                  blames.add(refined);
                  explain(refined.partIds(), unexplained);
                });
      }
      if (!parts.isEmpty()) {
        explain(parts, unexplained).ifPresent(more -> blames.add(blame.union(more)));
      }
    }
    Optional<PartBlame> next = strongest(unexplained);
    while (next.isPresent()) {
      blames.add(next.get());
      explain(next.get().partIds(), unexplained);
      next = strongest(unexplained);
    }
    return blames;
  }

  /**
   * Returns a finding of fewer parts if some of those blamed together have crashed endpoints
   * without the others.
   */
  private Optional<PartBlame> refined(List<String> partIds, Collection<Crash> crashes) {
    Map<String, Evidence> byPart = evidenceByPart(crashes);
    byPart.keySet().retainAll(partIds);
    int most = byPart.values().stream().mapToInt(Evidence::processes).max().orElse(0);
    List<String> strongest =
        partIds.stream()
            .filter(id -> byPart.containsKey(id) && byPart.get(id).processes() == most)
            .toList();
    return strongest.isEmpty() || strongest.size() == partIds.size()
        ? Optional.empty()
        : Optional.of(byPart.get(strongest.get(0)).blame(strongest));
  }

  /** Returns for each part the crashes since its last answer under requests with it. */
  private Map<String, Evidence> evidenceByPart(Collection<Crash> crashes) {
    Map<String, Evidence> byPart = new HashMap<>();
    for (Crash crash : crashes) {
      Set<String> partIds = new HashSet<>();
      crash.requests().forEach(request -> partIds.addAll(request.partIds()));
      for (String partId : soundParts.withoutAnswerSince(partIds, crash.endedNanos())) {
        byPart
            .computeIfAbsent(partId, id -> new Evidence())
            .add(crash, request -> request.partIds().contains(partId));
      }
    }
    return byPart;
  }

  /** Removes the crashes that requests with the given parts explain, and returns the evidence. */
  private static Optional<PartBlame> explain(List<String> partIds, List<Crash> unexplained) {
    Evidence evidence = new Evidence();
    for (Crash crash : unexplained) {
      evidence.add(crash, request -> request.partIds().containsAll(partIds));
    }
    unexplained.removeAll(evidence.crashes);
    return evidence.crashes.isEmpty() ? Optional.empty() : Optional.of(evidence.blame(partIds));
  }

  private Optional<PartBlame> strongest(List<Crash> unexplained) {
    Map<String, Evidence> byPart = evidenceByPart(unexplained);
    List<Map.Entry<String, Evidence>> ranked =
        byPart.entrySet().stream()
            .filter(entry -> suffices(entry.getKey(), entry.getValue()))
            .sorted(
                Comparator.comparingInt(
                        (Map.Entry<String, Evidence> entry) -> -entry.getValue().processes())
                    .thenComparing(Map.Entry::getKey))
            .toList();
    if (ranked.isEmpty()) {
      return Optional.empty();
    }
    for (Map.Entry<String, Evidence> entry : ranked) {
      Evidence evidence = entry.getValue();
      if (ranked.stream().noneMatch(other -> competes(entry, other))) {
        Set<String> together = evidence.commonParts();
        together.removeIf(
            id -> !byPart.containsKey(id) || byPart.get(id).processes() < evidence.processes());
        return Optional.of(evidence.blame(List.copyOf(together)));
      }
    }
    // The next crash tells which of them was only being served beside the others.
    return Optional.empty();
  }

  /** Returns whether two parts explain the same crashes equally well under different requests. */
  private static boolean competes(
      Map.Entry<String, Evidence> entry, Map.Entry<String, Evidence> other) {
    Evidence one = entry.getValue();
    Evidence two = other.getValue();
    return one != two
        && one.processes() < MIN_PROCESSES_AT_ONCE
        && two.processes() >= one.processes()
        && !Collections.disjoint(one.crashes, two.crashes)
        && !one.commonParts().contains(other.getKey())
        && !two.commonParts().contains(entry.getKey());
  }

  private boolean suffices(String partId, Evidence evidence) {
    if (evidence.processes() < MIN_PROCESSES
        || evidence.processes() - evidence.maxProcessesOfOneContent()
            < MIN_PROCESSES_OF_OTHER_CONTENTS) {
      return false;
    }
    boolean isAtOnce = evidence.incidents() < 2;
    if (isAtOnce && evidence.processes() < MIN_PROCESSES_AT_ONCE) {
      return false;
    }
    boolean wasAnswered = soundParts.lastBeginNanos(partId).isPresent();
    boolean isSettled = nowNanos - evidence.firstCrashNanos() >= settleNanos;
    if (wasAnswered) {
      // If no other request is answered either, the endpoints fail for another reason.
      return isSettled && soundParts.hasAnswerSince(evidence.firstCrashNanos());
    }
    return isSettled || !isAtOnce;
  }

  /** The crashes under requests of interest. */
  private static final class Evidence {
    private final List<Crash> crashes = new ArrayList<>();
    private final Map<String, Integer> processesByContent = new HashMap<>();
    private final Map<Crash, Long> lastSentNanos = new HashMap<>();
    private final List<SuspectRequest> requests = new ArrayList<>();

    /** Matches requests of interest. */
    @FunctionalInterface
    private interface RequestFilter {
      boolean matches(SuspectRequest request);
    }

    private void add(Crash crash, RequestFilter filter) {
      boolean isRelevant = false;
      for (SuspectRequest request : crash.requests()) {
        if (!filter.matches(request)) {
          continue;
        }
        isRelevant = true;
        requests.add(request);
        processesByContent.merge(request.contentHash(), 1, Integer::sum);
        lastSentNanos.merge(crash, request.sentNanos(), (a, b) -> b - a > 0 ? b : a);
      }
      if (isRelevant) {
        crashes.add(crash);
      }
    }

    private int processes() {
      return crashes.size();
    }

    private int maxProcessesOfOneContent() {
      return processesByContent.values().stream().mapToInt(Integer::intValue).max().orElse(0);
    }

    private long firstCrashNanos() {
      return inOrder().get(0).endedNanos();
    }

    private List<Crash> inOrder() {
      List<Crash> inOrder = new ArrayList<>(crashes);
      inOrder.sort((a, b) -> Long.signum(a.endedNanos() - b.endedNanos()));
      return inOrder;
    }

    /** Counts the crashes with a request that was sent after the crash counted before. */
    private int incidents() {
      int incidents = 0;
      long endedNanos = 0;
      for (Crash crash : inOrder()) {
        if (incidents == 0 || lastSentNanos.get(crash) - endedNanos >= 0) {
          incidents++;
          endedNanos = crash.endedNanos();
        }
      }
      return incidents;
    }

    private Set<String> commonParts() {
      Set<String> common = new LinkedHashSet<>(requests.get(0).partIds());
      requests.forEach(request -> common.retainAll(request.partIds()));
      return common;
    }

    private PartBlame blame(List<String> partIds) {
      List<Crash> inOrder = inOrder();
      return new PartBlame(
          partIds,
          processes(),
          processesByContent.size(),
          incidents(),
          inOrder.get(inOrder.size() - 1).endedNanos());
    }
  }
}
