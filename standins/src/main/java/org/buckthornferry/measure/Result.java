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
  final double[] offeredSeconds = new double[3];
  double goodSeconds;
  long wastedPrefillTokens;
  long prefillTokens;
  int coldExcess;
  int coldViolations;
  int dispatchesAfterDrain;
  double boundSeconds;

  double goodput(Tier tier) {
    return (double) good.getOrDefault(tier, 0) / Math.max(1, offered.getOrDefault(tier, 0));
  }

  double wastedShare() {
    return (double) wastedPrefillTokens / Math.max(1, prefillTokens);
  }

  double boundShare() {
    return goodSeconds / Math.max(1, boundSeconds);
  }

  void offer(Work work, double placeSeconds) {
    Tier tier = work.request().tier();
    offered.merge(tier, 1, Integer::sum);
    offeredSeconds[index(tier)] += placeSeconds;
  }

  void finish(Work work, double placeSeconds, boolean inTime) {
    if (inTime) {
      good.merge(work.request().tier(), 1, Integer::sum);
      goodSeconds += placeSeconds;
    } else {
      late.merge(work.request().tier(), 1, Integer::sum);
    }
  }

  private static int index(Tier tier) {
    return switch (tier) {
      case CRITICAL -> 0;
      case STANDARD -> 1;
      case BULK -> 2;
    };
  }
}
