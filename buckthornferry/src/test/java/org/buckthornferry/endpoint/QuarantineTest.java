package org.buckthornferry.endpoint;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

class QuarantineTest {
  private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
  private static final int STEPS = 3_000;
  private static final String BAD = "bad";

  private record Run(String instance, String requestId, String hash) {}

  /**
   * Guards against the quarantine of content that only shared an endpoint with crashing content.
   * Instances start good and bad content on shared endpoints over a network that loses messages; a
   * suspect starts once its instance reports that nothing else runs on the reserved endpoint.
   */
  @Property(seed = "31", tries = 40)
  void quarantinesOnlyCrashingContent(@ForAll @LongRange(min = 0, max = 1L << 40) long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    FakeRegion region = new FakeRegion(3, 0.1, seed);
    Map<String, Quarantine> quarantines = new TreeMap<>();
    for (String id : region.ids()) {
      Quarantine quarantine =
          new Quarantine(id, 600_000, region.blackboard(id), region.senderOf(id));
      quarantines.put(id, quarantine);
      region.add(id, quarantine);
    }
    Map<String, List<Run>> endpoints =
        new HashMap<>(Map.of("e0", new ArrayList<>(), "e1", new ArrayList<>()));
    long now = 0;
    for (int step = 0; step < STEPS; step++) {
      now += STEP_NANOS;
      region.step(now);
      for (String id : region.ids()) {
        start(id, quarantines.get(id), endpoints, random, now, step);
      }
      for (String endpointId : endpoints.keySet()) {
        end(endpointId, quarantines, endpoints.get(endpointId), random, now);
      }
      for (Quarantine quarantine : quarantines.values()) {
        for (int good = 0; good < 4; good++) {
          assertWithMessage("good content at step %s", step)
              .that(quarantine.verdict("good" + good, now))
              .isNotEqualTo(Verdict.QUARANTINED);
        }
      }
    }
    long quarantinedAt =
        quarantines.values().stream()
            .filter(
                quarantine -> quarantine.verdict(BAD, STEPS * STEP_NANOS) == Verdict.QUARANTINED)
            .count();
    assertThat(quarantinedAt).isEqualTo(3);
  }

  private static void start(
      String id,
      Quarantine quarantine,
      Map<String, List<Run>> endpoints,
      SplittableRandom random,
      long now,
      int step) {
    String hash = random.nextInt(8) == 0 ? BAD : "good" + random.nextInt(4);
    String endpointId = "e" + random.nextInt(2);
    Verdict verdict = quarantine.verdict(hash, now);
    boolean reserved = quarantine.isReserved(endpointId, now);
    if (verdict == Verdict.SUSPECT) {
      if (quarantine.isolatedEndpoint(hash).isEmpty() && !reserved) {
        quarantine.isolate(hash, endpointId, now);
      }
      endpointId = quarantine.isolatedEndpoint(hash).orElse("");
      if (!quarantine.hasExclusiveEndpoint(hash, now)) {
        return;
      }
    } else if (verdict == Verdict.QUARANTINED || reserved || random.nextInt(4) > 0) {
      return;
    }
    String requestId = id + "-" + step;
    quarantine.onStarted(endpointId, requestId, hash);
    endpoints.get(endpointId).add(new Run(id, requestId, hash));
  }

  private static void end(
      String endpointId,
      Map<String, Quarantine> quarantines,
      List<Run> runs,
      SplittableRandom random,
      long now) {
    boolean bad = runs.stream().anyMatch(run -> run.hash().equals(BAD));
    if (bad && random.nextInt(10) == 0) {
      runs.clear();
      quarantines.values().forEach(quarantine -> quarantine.onCrash(endpointId, now));
    } else if (!runs.isEmpty() && random.nextInt(6) == 0) {
      Run run = runs.get(random.nextInt(runs.size()));
      if (!run.hash().equals(BAD)) {
        runs.remove(run);
        quarantines.get(run.instance()).onFinished(endpointId, run.requestId(), true, now);
      }
    }
  }
}
