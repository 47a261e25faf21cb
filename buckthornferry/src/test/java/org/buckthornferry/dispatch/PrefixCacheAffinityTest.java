package org.buckthornferry.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.buckthornferry.catalog.Endpoint;
import org.buckthornferry.catalog.Service;
import org.buckthornferry.catalog.Service.Reservations;
import org.buckthornferry.error.ErrorKind;
import org.buckthornferry.http.Addresses;
import org.junit.jupiter.api.Test;

final class PrefixCacheAffinityTest {
  private static final List<String> ENDPOINTS = ids("e", 56);
  private static final PromptPrefix LONG = new PromptPrefix("long", "branch", 18_000);
  private static final PromptPrefix SHORT = new PromptPrefix("short", "branch", 400);

  @Test
  void instancesAgreeOnTheEndpointOfAPrefixWithoutCommunication() {
    assertThat(endpointsOf(affinity(95), LONG)).isEqualTo(endpointsOf(affinity(95), LONG));
    assertThat(endpointsOf(affinity(95), LONG)).hasSize(1);
  }

  @Test
  void aShortPrefixThatIsRequestedOftenGetsManyEndpoints() {
    PrefixCacheAffinity affinity = affinity(95);
    for (int i = 0; i < 5; i++) {
      affinity.onArrival(SHORT, millis(1_000L * i));
    }
    assertThat(endpointsOf(affinity, SHORT).size()).isAtLeast(8);
  }

  @Test
  void aLongPrefixKeepsOneEndpointAtAnyRequestRate() {
    PrefixCacheAffinity affinity = affinity(95);
    for (int i = 0; i < 20; i++) {
      affinity.onArrival(LONG, millis(100L * i));
    }
    assertThat(endpointsOf(affinity, LONG)).hasSize(1);
  }

  @Test
  void onlyPrefixesOfARemovedEndpointMove() {
    PrefixCacheAffinity before = affinity(95);
    PrefixCacheAffinity after = affinity(95);
    String removed = ENDPOINTS.get(7);
    after.setEndpoints(ENDPOINTS.stream().filter(id -> !id.equals(removed)).toList(), 4);
    for (int i = 0; i < 200; i++) {
      PromptPrefix prefix = new PromptPrefix("p" + i, "b", 9_000);
      before.onArrival(prefix, 0);
      after.onArrival(prefix, 0);
      Set<String> endpointIds = endpointsOf(before, prefix);
      if (!endpointIds.contains(removed)) {
        assertThat(endpointsOf(after, prefix)).isEqualTo(endpointIds);
      }
    }
  }

  @Test
  void aPromptWithoutASharedPrefixHasNoCachedTokens() {
    PrefixCacheAffinity affinity = affinity(95);
    affinity.onArrival(PromptPrefix.NONE, 0);
    assertThat(affinity.cachedTokens(PromptPrefix.NONE, ENDPOINTS.get(0))).isEqualTo(0);
  }

  /** Requests for forty documents, eight each on average, reach instances that share no state. */
  @Test
  void requestsThroughManyInstancesReadASharedPrefixAboutOnce() {
    for (int instances : new int[] {10, 100, 300}) {
      double withAffinity = tokensRead(instances, true);
      double withoutAffinity = tokensRead(instances, false);
      // Distinct tokens: each document once, an eighth of the requested ones, and each own part.
      double minTokens = 40 * 10_000 + 320 * 1_000;
      assertThat(withAffinity).isAtMost(1.5 * minTokens);
      assertThat(withAffinity).isLessThan(0.5 * withoutAffinity);
    }
  }

  private static double tokensRead(int instances, boolean isShared) {
    SplittableRandom random = new SplittableRandom(11);
    List<Dispatcher> dispatchers = new ArrayList<>();
    for (String id : ids("i", instances)) {
      Dispatcher dispatcher =
          new Dispatcher(service(), id, "d" + random.nextInt(5), random.split());
      dispatcher.setEndpoints(ENDPOINTS.stream().map(PrefixCacheAffinityTest::endpoint).toList());
      dispatcher.setInstances(ids("i", instances));
      dispatchers.add(dispatcher);
    }
    Map<String, Set<String>> readAt = new HashMap<>();
    double[] tokens = {0};
    for (int i = 0; i < 320; i++) {
      String document = "doc" + random.nextInt(40);
      PromptPrefix prefix = new PromptPrefix(document, document + "-" + i, 10_000);
      Dispatcher dispatcher = dispatchers.get(random.nextInt(instances));
      long now = millis(100L * i);
      WaitingRequest request =
          new WaitingRequest(
              "r" + i,
              "kind",
              new Priority(0, 0),
              new RequestSize(11_000, 12_000, 0),
              isShared ? prefix : PromptPrefix.NONE,
              now,
              now + millis(1_000),
              now + millis(10_000),
              false,
              new WaitingRequest.Listener() {
                @Override
                public void onPlaced(Placement placement) {
                  boolean isNew =
                      readAt
                          .computeIfAbsent(placement.endpoint().id(), id -> new HashSet<>())
                          .add(document);
                  tokens[0] += isNew ? 11_000 : 1_000;
                  dispatcher.onSent(placement, now);
                  dispatcher.onAttemptEnded(placement, false, AttemptOutcome.COMPLETED, now);
                }

                @Override
                public void onRefused(ErrorKind reason, String detail, long retryAfterMillis) {
                  throw new IllegalStateException(detail);
                }
              });
      dispatcher.submit(request, now);
      dispatcher.dispatch(now);
    }
    return tokens[0];
  }

  private static PrefixCacheAffinity affinity(int instances) {
    PrefixCacheAffinity affinity = new PrefixCacheAffinity();
    affinity.setInstances(instances);
    affinity.setEndpoints(ENDPOINTS, 4);
    affinity.onArrival(LONG, 0);
    affinity.onArrival(SHORT, 0);
    return affinity;
  }

  private static Set<String> endpointsOf(PrefixCacheAffinity affinity, PromptPrefix prefix) {
    Set<String> endpointIds = new HashSet<>();
    for (String id : ENDPOINTS) {
      if (affinity.cachedTokens(prefix, id) > 0) {
        endpointIds.add(id);
      }
    }
    return endpointIds;
  }

  private static List<String> ids(String prefix, int count) {
    List<String> ids = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      ids.add(prefix + "-" + Integer.toHexString(i * 7_919));
    }
    return ids;
  }

  private static Service service() {
    return new Service("models", 100, 0, 0, Optional.of(new Reservations(2_000)));
  }

  private static Endpoint endpoint(String id) {
    int index = ENDPOINTS.indexOf(id);
    return new Endpoint(
        id,
        "models",
        Addresses.parse("127.0.0.1:" + (2_000 + index)),
        "d" + index % 5,
        "v1",
        4,
        false,
        0,
        1,
        0);
  }

  private static long millis(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }
}
