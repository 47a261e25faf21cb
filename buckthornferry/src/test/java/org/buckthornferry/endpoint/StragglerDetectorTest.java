package org.buckthornferry.endpoint;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.buckthornferry.admission.Tier;
import org.buckthornferry.config.ConfigSnapshot;
import org.buckthornferry.config.Declarations;
import org.buckthornferry.config.EndpointDeclaration;
import org.buckthornferry.config.FailureDomainDeclaration;
import org.buckthornferry.config.RouteDeclaration;
import org.buckthornferry.config.ServiceDeclaration;
import org.buckthornferry.config.ServiceKind;
import org.buckthornferry.config.TierDeclaration;
import org.buckthornferry.shard.ShardKind;
import org.buckthornferry.shard.ShardMap;
import org.buckthornferry.shard.ShardOwner;
import org.junit.jupiter.api.Test;

class StragglerDetectorTest {
  private static final int ENDPOINTS = 10;

  /** Guards against an ejection on fewer than 20 samples or below twice the median. */
  @Test
  void findsOnlyEndpointsSlowerThanTwiceTheMedian() {
    StragglerDetector detector = new StragglerDetector();
    List<String> cohort = List.of("a", "b", "c", "d");
    for (int i = 0; i < 20; i++) {
      detector.observe("a", 10);
      detector.observe("b", 11);
      detector.observe("c", 19.9);
      assertThat(detector.stragglers(cohort)).isEmpty();
    }
    for (int i = 0; i < 19; i++) {
      detector.observe("d", 40);
    }
    assertThat(detector.stragglers(cohort)).isEmpty();
    detector.observe("d", 40);
    assertThat(detector.stragglers(cohort)).containsExactly("d");
  }

  /**
   * Guards against the ejection of more than 20% of a service at once, for any speeds and with
   * several owners of endpoints.
   */
  @Property(seed = "41", tries = 60)
  void boundsTheEjectedShare(@ForAll @LongRange(min = 0, max = 1L << 40) long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    FakeRegion region = new FakeRegion(3, 0.1, seed);
    Map<String, HealthController> controllers = new TreeMap<>();
    Map<Integer, ShardOwner> owners = new TreeMap<>();
    for (int shard = 0; shard < 16; shard++) {
      owners.put(shard, new ShardOwner("i" + shard % 3, 1, 1));
    }
    ShardMap shards = new ShardMap(16, Map.of(ShardKind.ENDPOINT, owners));
    for (String id : region.ids()) {
      HealthController controller =
          new HealthController(id, region.blackboard(id), region.senderOf(id));
      region.blackboard(id).writerOf(ConfigSnapshot.ENTRY).accept(snapshot());
      region.blackboard(id).writerOf(ShardMap.ENTRY).accept(shards);
      controllers.put(id, controller);
      region.add(id, controller);
    }
    boolean ejectedAny = false;
    for (int step = 0; step < 800; step++) {
      long now = step * TimeUnit.MILLISECONDS.toNanos(50);
      for (HealthController controller : controllers.values()) {
        int index = random.nextInt(ENDPOINTS);
        controller.onSuccess("e" + index, index < 4 ? 100 : 10, now);
        controller.onSuccess("e" + random.nextInt(4, ENDPOINTS), 10, now);
      }
      region.step(now);
      // The owner of an endpoint decides its state; other instances receive changes later.
      long ejected = 0;
      for (int i = 0; i < ENDPOINTS; i++) {
        String owner = shards.ownerOf(ShardKind.ENDPOINT, "e" + i).orElseThrow().instanceId();
        EndpointStates states = region.blackboard(owner).read(EndpointStates.ENTRY);
        boolean straggling =
            states.of("e" + i).map(EndpointStatus::state).orElse(EndpointState.COLD)
                == EndpointState.STRAGGLING;
        ejected += straggling ? 1 : 0;
      }
      assertThat(ejected).isAtMost(2);
      ejectedAny |= ejected > 0;
    }
    assertThat(ejectedAny).isTrue();
  }

  private static ConfigSnapshot snapshot() {
    List<EndpointDeclaration> endpoints = new ArrayList<>();
    for (int i = 0; i < ENDPOINTS; i++) {
      endpoints.add(
          new EndpointDeclaration("e" + i, "127.0.0.1:1", "kol-a", "v1", "gen1", 8, 2, true));
    }
    ServiceDeclaration service =
        new ServiceDeclaration(
            "model",
            ServiceKind.MODEL,
            "v1",
            List.of(new RouteDeclaration("/q", Tier.STANDARD, true, 10, 10)),
            List.of(new TierDeclaration(Tier.STANDARD, 1_000, 1_000)),
            endpoints,
            Optional.empty());
    return new ConfigSnapshot(
        1,
        "a",
        new Declarations(
            List.of(new FailureDomainDeclaration("kol-a", "kol", false)),
            List.of(),
            List.of(service)));
  }
}
