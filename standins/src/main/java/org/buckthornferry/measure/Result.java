package org.buckthornferry.measure;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;
import org.buckthornferry.admission.Tier;
import org.buckthornferry.error.ErrorKind;

/** The figures of one run. */
final class Result {
  final Map<Tier, Integer> offered = new EnumMap<>(Tier.class);
  final Map<Tier, Integer> good = new EnumMap<>(Tier.class);
  final Map<Tier, Integer> late = new EnumMap<>(Tier.class);
  final Map<ErrorKind, Integer> refusals = new TreeMap<>();
  final Map<String, Integer> failures = new TreeMap<>();
  final Map<String, double[]> offeredTokens = new TreeMap<>();
  double goodTokens;
  long wastedPrefillTokens;
  long prefillTokens;
  int coldExcess;
  int coldViolations;
  int dispatchesAfterDrain;
  double boundTokens;

  double goodput(Tier tier) {
    return (double) good.getOrDefault(tier, 0) / Math.max(1, offered.getOrDefault(tier, 0));
  }

  double wastedShare() {
    return (double) wastedPrefillTokens / Math.max(1, prefillTokens);
  }

  double boundShare() {
    return goodTokens / Math.max(1, boundTokens);
  }

  void offer(Work work) {
    Tier tier = work.request().tier();
    offered.merge(tier, 1, Integer::sum);
    offeredTokens
            .computeIfAbsent(work.request().serviceId(), id -> new double[Tier.values().length])[
            index(tier)] +=
        work.costTokens();
  }

  void finish(Work work, boolean inTime) {
    if (inTime) {
      good.merge(work.request().tier(), 1, Integer::sum);
      goodTokens += work.costTokens();
    } else {
      late.merge(work.request().tier(), 1, Integer::sum);
    }
  }

  static int index(Tier tier) {
    return switch (tier) {
      case CRITICAL -> 0;
      case STANDARD -> 1;
      case BULK -> 2;
    };
  }
}
