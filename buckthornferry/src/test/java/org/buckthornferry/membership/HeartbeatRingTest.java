package org.buckthornferry.membership;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class HeartbeatRingTest {
  private static HeartbeatRing ring(int size) {
    List<String> ids = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      ids.add("instance-" + i);
    }
    return new HeartbeatRing(ids);
  }

  /** Guards the bound on heartbeat peers and the symmetry that failure detection needs. */
  @Property(tries = 100, seed = "1")
  void peersAreBoundedAndSymmetric(@ForAll @IntRange(min = 1, max = 600) int size) {
    HeartbeatRing ring = ring(size);
    int bound = Math.min(size - 1, 2 * HeartbeatRing.ceilLog2(size) + 1);
    for (String id : ring.ids()) {
      assertThat(ring.peersOf(id).size()).isAtMost(bound);
      assertThat(ring.peersOf(id)).doesNotContain(id);
      for (String peer : ring.peersOf(id)) {
        assertThat(ring.peersOf(peer)).contains(id);
      }
    }
  }

  /** Guards the logarithmic number of hops in which gossip reaches every instance. */
  @Property(tries = 40, seed = "2")
  void everyInstanceIsWithinLogarithmicDistance(@ForAll @IntRange(min = 2, max = 600) int size) {
    HeartbeatRing ring = ring(size);
    String first = ring.ids().get(0);
    Map<String, Integer> distance = new HashMap<>(Map.of(first, 0));
    Deque<String> open = new ArrayDeque<>(List.of(first));
    while (!open.isEmpty()) {
      String id = open.poll();
      for (String peer : ring.peersOf(id)) {
        if (distance.putIfAbsent(peer, distance.get(id) + 1) == null) {
          open.add(peer);
        }
      }
    }
    assertThat(distance).hasSize(size);
    distance
        .values()
        .forEach(steps -> assertThat(steps).isAtMost(Math.max(1, HeartbeatRing.ceilLog2(size))));
  }
}
