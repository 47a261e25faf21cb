package org.buckthornferry.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class ForwardingPeersTest {
  private final ForwardingPeers peers = new ForwardingPeers("a", new SplittableRandom(1));

  @Test
  void prefersTheOwnFailureDomain() {
    peers.setPeers(Map.of("i1", "a", "i2", "b", "i3", "c"));
    for (int i = 0; i < 20; i++) {
      assertThat(peers.choose(false, 0)).isEqualTo(Optional.of("i1"));
    }
    peers.onFailed("i1", 0);
    assertThat(peers.choose(false, 0).orElseThrow()).isAnyOf("i2", "i3");
    assertThat(peers.choose(true, 0)).isEmpty();
  }

  @Test
  void avoidsAFailedPeerForDoublingTimes() {
    peers.setPeers(Map.of("i1", "a"));
    peers.onFailed("i1", 0);
    assertThat(peers.hasUsable(millis(399))).isFalse();
    assertThat(peers.hasUsable(millis(400))).isTrue();
    peers.onFailed("i1", millis(400));
    assertThat(peers.hasUsable(millis(1_199))).isFalse();
    assertThat(peers.hasUsable(millis(1_200))).isTrue();
    peers.onAnswered("i1");
    peers.onFailed("i1", millis(2_000));
    assertThat(peers.hasUsable(millis(2_400))).isTrue();
  }

  /** One endpoint may have failed; a peer that reaches none of several is cut off too. */
  @Test
  void avoidsAPeerThatReachesNoEndpoint() {
    peers.setPeers(Map.of("i1", "a"));
    peers.onUnreachable("i1", 0);
    assertThat(peers.hasUsable(0)).isTrue();
    peers.onUnreachable("i1", 0);
    assertThat(peers.hasUsable(0)).isFalse();
  }

  /** With 300 instances of which most are cut off, the few others are found and share the load. */
  @Test
  void findsTheFewPeersThatReachTheEndpointsAndSpreadsTheLoad() {
    int count = 300;
    Map<String, String> domains = new HashMap<>();
    for (int i = 0; i < count; i++) {
      domains.put("i" + i, "d" + i % 3);
    }
    peers.setPeers(domains);
    Map<String, Integer> served = new HashMap<>();
    int failed = 0;
    long nowNanos = 0;
    for (int i = 0; i < 6_000; i++) {
      nowNanos += millis(1);
      String peerId = peers.choose(false, nowNanos).orElseThrow();
      peers.onSent(peerId);
      boolean isCutOff = Integer.parseInt(peerId.substring(1)) % 10 != 0;
      if (isCutOff) {
        failed++;
        peers.onFailed(peerId, nowNanos);
        peers.onEnded(peerId);
      } else {
        peers.onAnswered(peerId);
        served.merge(peerId, 1, Integer::sum);
        if (i % 2 == 0) {
          peers.onEnded(peerId);
        }
      }
    }
    assertThat(failed).isLessThan(6_000 / 2);
    assertThat(served).hasSize(30);
    int most = served.values().stream().mapToInt(Integer::intValue).max().orElseThrow();
    assertThat(most).isLessThan(4 * (6_000 - failed) / 30);
  }

  private static long millis(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }
}
