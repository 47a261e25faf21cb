package org.buckthornferry.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.buckthornferry.catalog.Endpoint;
import org.buckthornferry.catalog.Service;
import org.buckthornferry.error.ErrorKind;
import org.junit.jupiter.api.Test;

final class DispatcherTest {
  private static final Service MODEL =
      new Service("model", 100, 3_000, 5.2, Optional.of(new Service.Reservations(2_000)));
  private static final Service PLAIN = new Service("plain", 100, 0, 0, Optional.empty());

  private final ForwardingPeers forwarders = new ForwardingPeers("z1", new SplittableRandom(2));
  private Consumer<WaitingRequest> onRefusal = request -> {};
  private final List<Placement> placed = new ArrayList<>();
  private final List<String> refused = new ArrayList<>();
  private final List<Long> retryAfterMillis = new ArrayList<>();
  private Runnable onPlacement = () -> {};

  @Test
  void placesOnTheEndpointWithTheShortestTimeToTheFirstEvent() {
    Endpoint slow = endpoint("slow", 4, 0);
    Endpoint fast = endpoint("fast", 4, 0);
    Dispatcher dispatcher = dispatcher(MODEL, slow, fast);
    recordFirstEvent(dispatcher, slow, 600);
    recordFirstEvent(dispatcher, fast, 100);
    dispatcher.submit(request("r", 0, 3_000, 0), millis(10));
    dispatcher.dispatch(millis(10));
    assertThat(placed.get(0).endpoint()).isEqualTo(fast);
    assertThat(placed.get(0).needsReservation()).isTrue();
  }

  @Test
  void leavesFastEndpointsToLongPromptsWhileSlotsAreScarce() {
    Endpoint slow = endpoint("slow", 4, 0);
    Endpoint fast = endpoint("fast", 4, 0);
    Endpoint full = endpoint("full", 4, 0);
    Dispatcher dispatcher = dispatcher(MODEL, slow, fast, full);
    recordFirstEvent(dispatcher, slow, 600);
    recordFirstEvent(dispatcher, fast, 100);
    recordFirstEvent(dispatcher, full, 100);
    refuseOnce(dispatcher, full, slow, fast);
    dispatcher.submit(request("short", 2, 200, 0), millis(1));
    dispatcher.submit(request("long", 0, 5_000, 0), millis(1));
    dispatcher.dispatch(millis(1));
    for (Placement placement : placed) {
      boolean isShort = placement.request().requestId().equals("short");
      assertThat(placement.endpoint()).isEqualTo(isShort ? slow : fast);
    }
    assertThat(placed).hasSize(2);
  }

  @Test
  void waitsForAFastSlotWhenTheFreeOneIsTooSlow() {
    Endpoint slow = endpoint("slow", 4, 0);
    Endpoint fast = endpoint("fast", 4, 0);
    Dispatcher dispatcher = dispatcher(MODEL, slow, fast);
    recordFirstEvent(dispatcher, slow, 600);
    recordFirstEvent(dispatcher, fast, 100);
    refuseOnce(dispatcher, fast, slow);
    dispatcher.submit(request("long", 0, 9_000, 0), millis(1));
    long nextNanos = dispatcher.dispatch(millis(1));
    assertThat(placed).isEmpty();
    dispatcher.dispatch(nextNanos);
    assertThat(placed.get(0).endpoint()).isEqualTo(fast);
  }

  @Test
  void aLeavingProcessGetsNoRequestsEvenAfterItsRegistrationReturns() {
    Endpoint leaving = endpoint("e", 4, 0);
    Dispatcher dispatcher = dispatcher(PLAIN, leaving);
    assertThat(dispatcher.onLeaving(leaving, millis(1))).isTrue();
    assertThat(dispatcher.onLeaving(leaving, millis(1))).isFalse();
    dispatcher.setEndpoints(List.of());
    dispatcher.setEndpoints(List.of(leaving));
    dispatcher.submit(request("r", 0, 100, 1), millis(1));
    dispatcher.dispatch(millis(2));
    assertThat(placed).isEmpty();
    dispatcher.setEndpoints(List.of(restarted(leaving)));
    dispatcher.dispatch(millis(3));
    assertThat(placed).hasSize(1);
  }

  /** Guards against a request that is sent after its caller has been refused. */
  @Test
  void aRequestThatEndsWhileAnotherIsPlacedIsNotPlaced() {
    Dispatcher dispatcher = dispatcher(PLAIN, endpoint("one", 4, 0), endpoint("other", 4, 0));
    WaitingRequest first = request("first", 0, 100, 0);
    WaitingRequest second = request("second", 1, 100, 0);
    dispatcher.submit(first, millis(0));
    dispatcher.submit(second, millis(0));
    onPlacement = () -> dispatcher.remove(second);
    dispatcher.dispatch(millis(1));
    assertThat(placed).hasSize(1);
    assertThat(placed.get(0).request()).isEqualTo(first);
  }

  @Test
  void aPausedEndpointIsUsedAgainAfterItsLongestPause() {
    Endpoint paused = endpoint("e", 4, 0);
    Dispatcher dispatcher = dispatcher(PLAIN, paused);
    dispatcher.onPause(paused, 200, millis(0));
    dispatcher.onPause(paused, 50, millis(10));
    dispatcher.submit(request("r", 0, 100, 10), millis(10));
    long nextNanos = dispatcher.dispatch(millis(10));
    assertThat(placed).isEmpty();
    assertThat(nextNanos).isEqualTo(millis(200));
    dispatcher.dispatch(millis(200));
    assertThat(placed).hasSize(1);
  }

  @Test
  void refusesAtOnceWhileAllEndpointsArePausedAndLetsHighPrioritiesRetryFirst() {
    Endpoint one = endpoint("one", 4, 0);
    Endpoint other = endpoint("other", 4, 0);
    Dispatcher dispatcher = dispatcher(PLAIN, one, other);
    dispatcher.submit(request("waiting", 1, 100, 0), millis(0));
    dispatcher.onPause(one, 30_000, millis(0));
    dispatcher.onPause(other, 20_000, millis(0));
    dispatcher.dispatch(millis(0));
    dispatcher.submit(request("important", 0, 100, 0), millis(0));
    dispatcher.submit(request("other", 2, 100, 0), millis(0));
    assertThat(refused).hasSize(3);
    assertThat(placed).isEmpty();
    assertThat(retryAfterMillis.get(1)).isAtLeast(20_000L);
    assertThat(retryAfterMillis.get(1)).isLessThan(retryAfterMillis.get(0));
    assertThat(retryAfterMillis.get(0)).isLessThan(retryAfterMillis.get(2));
  }

  private static Endpoint restarted(Endpoint endpoint) {
    return new Endpoint(
        endpoint.id(),
        endpoint.serviceName(),
        endpoint.address(),
        endpoint.failureDomain(),
        endpoint.version(),
        endpoint.capacity(),
        false,
        0,
        endpoint.startedEpochMillis() + 1,
        endpoint.observedNanos());
  }

  @Test
  void aCanaryVersionGetsOnlyTheRequestsWantedForItsTrial() {
    Endpoint old = endpoint("old", 4, 0);
    Endpoint canary = withVersion(endpoint("tried", 4, 0), "v2");
    OneRequestCanaryPolicy policy = new OneRequestCanaryPolicy();
    Dispatcher dispatcher =
        new Dispatcher(
            MODEL, "i1", "z1", new SplittableRandom(1), policy, RateLimitPolicy.NONE, forwarders);
    dispatcher.setEndpoints(List.of(old, canary));
    dispatcher.setInstances(List.of("i1"));
    for (int i = 0; i < 4; i++) {
      dispatcher.submit(request("r" + i, 0, 100, 0), millis(1));
    }
    dispatcher.dispatch(millis(1));
    assertThat(placed.stream().filter(p -> p.endpoint().equals(canary)).count()).isEqualTo(1);
    assertThat(placed).hasSize(4);
    assertThat(policy.placed).isEqualTo(1);
    Placement atCanary =
        placed.stream().filter(p -> p.endpoint().equals(canary)).findFirst().orElseThrow();
    dispatcher.onAttemptEnded(atCanary, true, AttemptOutcome.FULL, millis(2));
    assertThat(policy.placed).isEqualTo(0);
  }

  @Test
  void aVersionThatWasRolledBackGetsNoRequests() {
    Endpoint bad = withVersion(endpoint("bad", 4, 0), "v2");
    OneRequestCanaryPolicy policy = new OneRequestCanaryPolicy();
    policy.isRolledBack = true;
    Dispatcher dispatcher =
        new Dispatcher(
            MODEL, "i1", "z1", new SplittableRandom(1), policy, RateLimitPolicy.NONE, forwarders);
    dispatcher.setEndpoints(List.of(bad));
    dispatcher.setInstances(List.of("i1"));
    dispatcher.submit(request("r", 0, 100, 0), millis(1));
    dispatcher.dispatch(millis(1));
    assertThat(placed).isEmpty();
  }

  /** Treats version v2 as a canary that wants one request. */
  private static final class OneRequestCanaryPolicy implements VersionPolicy {
    private int placed;
    private boolean isRolledBack;

    @Override
    public boolean mayUse(String version) {
      return !isRolledBack || !isCanary(version);
    }

    @Override
    public boolean isCanary(String version) {
      return version.equals("v2");
    }

    @Override
    public boolean wantsCanaryRequest(String routeName) {
      return placed == 0;
    }

    @Override
    public void onPlaced(String routeName, String version) {
      placed += isCanary(version) ? 1 : 0;
    }

    @Override
    public void onWithdrawn(String routeName, String version) {
      placed -= isCanary(version) ? 1 : 0;
    }
  }

  /** An endpoint resets connections beyond the maximum for all instances together. */
  @Test
  void allInstancesTogetherStayWithinTheConnectionsOfAnEndpoint() {
    int maxConnections = 100;
    for (int instances : new int[] {1, 8, 40, 60}) {
      for (boolean hasReservations : new boolean[] {false, true}) {
        Service service =
            new Service(
                "model",
                maxConnections,
                0,
                0,
                hasReservations ? Optional.of(new Service.Reservations(2_000)) : Optional.empty());
        Dispatcher dispatcher = dispatcher(service, endpoint("e", 16, 0));
        dispatcher.setInstances(IntStream.range(0, instances).mapToObj(i -> "i" + i).toList());
        placed.clear();
        for (int i = 0; i < 50; i++) {
          dispatcher.submit(request("r" + i, 0, 100, 0), millis(1));
        }
        dispatcher.dispatch(millis(1));
        assertThat(placed).isNotEmpty();
        assertThat(instances * placed.size()).isAtMost(maxConnections);
      }
    }
  }

  @Test
  void asksForOnePermitAtATimeAndForNoReservationAtALimitedEndpoint() {
    Endpoint limited = endpoint("limited", 4, 0);
    Dispatcher dispatcher = limitedDispatcher(MODEL, Set.of(limited), limited);
    dispatcher.submit(request("first", 0, 100, 0), millis(1));
    dispatcher.submit(request("second", 0, 100, 0), millis(1));
    dispatcher.dispatch(millis(1));
    assertThat(placed).hasSize(1);
    assertThat(placed.get(0).needsPermit()).isTrue();
    assertThat(placed.get(0).needsReservation()).isFalse();
    dispatcher.onSent(placed.get(0), millis(3));
    dispatcher.dispatch(millis(3));
    assertThat(placed).hasSize(2);
  }

  @Test
  void sendsWhatALimitedEndpointDoesNotAcceptToAnother() {
    Endpoint limited = endpoint("limited", 4, 0);
    Endpoint other = endpoint("other", 4, 0);
    Dispatcher dispatcher = limitedDispatcher(MODEL, Set.of(limited), limited, other);
    recordFirstEvent(dispatcher, limited, 50);
    recordFirstEvent(dispatcher, other, 200);
    WaitingRequest request = request("r", 0, 3_000, 0);
    dispatcher.submit(request, millis(1));
    dispatcher.dispatch(millis(1));
    holdBack(dispatcher, 900, 3);
    dispatcher.submit(request, millis(3));
    dispatcher.dispatch(millis(3));
    assertThat(placed.get(1).endpoint()).isEqualTo(other);
    assertThat(placed.get(1).needsReservation()).isTrue();
  }

  @Test
  void waitsForAPermitThatComesInTimeInOrderOfPriority() {
    Endpoint limited = endpoint("limited", 4, 0);
    Dispatcher dispatcher = limitedDispatcher(PLAIN, Set.of(limited), limited);
    WaitingRequest high = request("high", 0, 100, 0);
    dispatcher.submit(high, millis(1));
    dispatcher.dispatch(millis(1));
    holdBack(dispatcher, 200, 3);
    dispatcher.submit(request("low", 2, 100, 0), millis(3));
    dispatcher.submit(high, millis(3));
    long nextNanos = dispatcher.dispatch(millis(3));
    assertThat(placed).hasSize(1);
    assertThat(nextNanos).isEqualTo(millis(203));
    dispatcher.dispatch(nextNanos);
    assertThat(placed.get(1).request().requestId()).isEqualTo("high");
    assertThat(refused).isEmpty();
  }

  @Test
  void aMoreImportantRequestAsksAtOnceWhereALessImportantOneIsHeldBack() {
    Endpoint limited = endpoint("limited", 4, 0);
    Dispatcher dispatcher = limitedDispatcher(PLAIN, Set.of(limited), limited);
    WaitingRequest low = request("low", 2, 100, 0);
    dispatcher.submit(low, millis(1));
    dispatcher.dispatch(millis(1));
    holdBack(dispatcher, 900, 3);
    dispatcher.submit(low, millis(3));
    dispatcher.submit(request("high", 0, 100, 0), millis(4));
    dispatcher.dispatch(millis(4));
    assertThat(placed.get(1).request().requestId()).isEqualTo("high");
  }

  @Test
  void refusesAtOnceWhatNoLimitedEndpointAcceptsInTime() {
    Endpoint limited = endpoint("limited", 4, 0);
    Dispatcher dispatcher = limitedDispatcher(PLAIN, Set.of(limited), limited);
    WaitingRequest first = request("first", 0, 100, 0);
    dispatcher.submit(first, millis(1));
    dispatcher.dispatch(millis(1));
    holdBack(dispatcher, 600, 3);
    dispatcher.submit(first, millis(3));
    // The second permit comes 600 ms after the first, when the request would be late.
    dispatcher.submit(request("second", 0, 100, 3), millis(3));
    assertThat(refused).containsExactly("second NO_ENDPOINT");
    assertThat(retryAfterMillis.get(0)).isAtLeast(1_200L);
    dispatcher.dispatch(millis(603));
    holdBack(dispatcher, 2_000, 605);
    dispatcher.submit(first, millis(605));
    assertThat(refused).hasSize(2);
    assertThat(retryAfterMillis.get(1)).isAtLeast(2_000L);
    assertThat(dispatcher.waiting()).isEqualTo(0);
  }

  @Test
  void retriesAndInterruptedStreamsNeedAPermitToo() {
    Endpoint limited = endpoint("limited", 4, 0);
    for (boolean isContinuation : new boolean[] {false, true}) {
      placed.clear();
      Dispatcher dispatcher = limitedDispatcher(MODEL, Set.of(limited), limited);
      WaitingRequest request = request("r", 0, 100, 0);
      request.markSent();
      if (isContinuation) {
        request.markContinuation();
      }
      dispatcher.submit(request, millis(1));
      dispatcher.dispatch(millis(1));
      assertThat(placed.get(0).needsPermit()).isTrue();
      holdBack(dispatcher, 2_000, 3);
      dispatcher.submit(request, millis(3));
      dispatcher.dispatch(millis(1_000));
      assertThat(placed).hasSize(1);
      assertThat(refused).isEmpty();
    }
  }

  @Test
  void canaryRequestsNeedAPermitToo() {
    Endpoint canary = withVersion(endpoint("tried", 4, 0), "v2");
    OneRequestCanaryPolicy policy = new OneRequestCanaryPolicy();
    Dispatcher dispatcher =
        new Dispatcher(
            MODEL, "i1", "z1", new SplittableRandom(1), policy, limits(Set.of(canary)), forwarders);
    dispatcher.setEndpoints(List.of(canary));
    dispatcher.setInstances(List.of("i1"));
    WaitingRequest request = request("r", 0, 100, 0);
    dispatcher.submit(request, millis(1));
    dispatcher.dispatch(millis(1));
    assertThat(placed.get(0).needsPermit()).isTrue();
    holdBack(dispatcher, 300, 3);
    assertThat(policy.placed).isEqualTo(0);
    dispatcher.submit(request, millis(3));
    dispatcher.dispatch(millis(200));
    assertThat(placed).hasSize(1);
  }

  /** Records that the last placement got no permit. */
  private void holdBack(Dispatcher dispatcher, long waitMillis, long nowMillis) {
    Placement last = placed.get(placed.size() - 1);
    dispatcher.onHeldBack(last, waitMillis, millis(nowMillis));
    dispatcher.onAttemptEnded(last, true, AttemptOutcome.HELD_BACK, millis(nowMillis));
  }

  private Dispatcher limitedDispatcher(
      Service service, Set<Endpoint> limited, Endpoint... endpoints) {
    Dispatcher dispatcher =
        new Dispatcher(
            service,
            "self",
            "z1",
            new SplittableRandom(7),
            VersionPolicy.ANY,
            limits(limited),
            forwarders);
    dispatcher.setEndpoints(List.of(endpoints));
    return dispatcher;
  }

  private static RateLimitPolicy limits(Set<Endpoint> limited) {
    return new RateLimitPolicy() {
      @Override
      public boolean hasLimits() {
        return true;
      }

      @Override
      public boolean isLimited(String processKey) {
        return limited.stream().anyMatch(endpoint -> endpoint.processKey().equals(processKey));
      }
    };
  }

  private static Endpoint withVersion(Endpoint endpoint, String version) {
    return new Endpoint(
        endpoint.id(),
        endpoint.serviceName(),
        endpoint.address(),
        endpoint.failureDomain(),
        version,
        endpoint.capacity(),
        false,
        0,
        endpoint.startedEpochMillis(),
        endpoint.observedNanos());
  }

  /** A caller that is refused at once can retry at an instance that reaches the endpoints. */
  @Test
  void refusesAtOnceWhileTheInstanceIsPartitioned() {
    Dispatcher dispatcher = dispatcher(MODEL, sixEndpoints());
    failConnections(dispatcher, 4);
    assertThat(dispatcher.isPartitioned()).isTrue();
    refused.clear();
    dispatcher.submit(request("r", 0, 100, 100), millis(100));
    assertThat(refused).containsExactly("r NO_ENDPOINT");
    assertThat(retryAfterMillis.get(retryAfterMillis.size() - 1)).isAtMost(100);
  }

  @Test
  void oneRequestAtATimeProbesWhetherEndpointsAreReachableAgain() {
    Dispatcher dispatcher = dispatcher(MODEL, sixEndpoints());
    failConnections(dispatcher, 4);
    refused.clear();
    placed.clear();
    for (int i = 0; i < 10; i++) {
      dispatcher.submit(request("r" + i, 0, 100, 400), millis(400));
      dispatcher.dispatch(millis(400));
    }
    assertThat(placed).hasSize(1);
    assertThat(refused).hasSize(9);
    dispatcher.onSent(placed.get(0), millis(410));
    assertThat(dispatcher.isPartitioned()).isFalse();
    dispatcher.submit(request("after", 0, 100, 420), millis(420));
    dispatcher.dispatch(millis(420));
    assertThat(placed).hasSize(2);
  }

  @Test
  void unreachableEndpointsAmongAnsweringOnesAreNoPartition() {
    Dispatcher dispatcher = dispatcher(MODEL, sixEndpoints());
    for (int i = 0; i < 3; i++) {
      failConnections(dispatcher, 3);
      dispatcher.onAttemptEnded(
          new Placement(request("ok", 0, 100, 0), sixEndpoints()[5], 500),
          false,
          AttemptOutcome.COMPLETED,
          millis(5));
    }
    assertThat(dispatcher.isPartitioned()).isFalse();
  }

  @Test
  void forwardsRequestsWhileNoEndpointCanBeConnectedTo() {
    Dispatcher dispatcher = cutOff(sixEndpoints());
    dispatcher.submit(request("r", 0, 100, 10), millis(10));
    dispatcher.dispatch(millis(10));
    assertThat(refused).isEmpty();
    assertThat(placed).hasSize(1);
    assertThat(placed.get(0).isForwarded()).isTrue();
  }

  /** Open connections may live on while new ones fail. */
  @Test
  void anAnswerOnAnOpenConnectionDoesNotEndForwarding() {
    Dispatcher dispatcher = cutOff(sixEndpoints());
    dispatcher.onAttemptEnded(
        new Placement(request("ok", 0, 100, 0), sixEndpoints()[5], 500),
        false,
        AttemptOutcome.COMPLETED,
        millis(12));
    dispatcher.submit(request("r", 0, 100, 15), millis(15));
    dispatcher.dispatch(millis(15));
    assertThat(placed.get(0).isForwarded()).isTrue();
    dispatcher.onConnected(sixEndpoints()[5].id());
    dispatcher.submit(request("direct", 0, 100, 20), millis(20));
    dispatcher.dispatch(millis(20));
    assertThat(placed.get(1).isForwarded()).isFalse();
  }

  @Test
  void refusesAtOnceWhenTheOtherInstancesAreCutOffToo() {
    Dispatcher dispatcher = cutOff(sixEndpoints());
    forwarders.onFailed("i2", millis(20));
    forwarders.onFailed("i3", millis(20));
    dispatcher.submit(request("r", 0, 100, 30), millis(30));
    assertThat(refused).containsExactly("r NO_ENDPOINT");
    assertThat(retryAfterMillis.get(retryAfterMillis.size() - 1)).isAtMost(100);
  }

  @Test
  void usesOpenConnectionsWhileTheyAnswerAndNobodyCanForward() {
    Dispatcher dispatcher = cutOff(sixEndpoints());
    forwarders.setPeers(Map.of());
    dispatcher.onAttemptEnded(
        new Placement(request("ok", 0, 100, 0), sixEndpoints()[5], 500),
        false,
        AttemptOutcome.COMPLETED,
        millis(12));
    dispatcher.submit(request("r", 0, 100, 15), millis(15));
    dispatcher.dispatch(millis(15));
    assertThat(placed.get(0).isForwarded()).isFalse();
    dispatcher.submit(request("later", 0, 100, 2_000), millis(2_000));
    assertThat(refused).containsExactly("later NO_ENDPOINT");
  }

  @Test
  void aServiceOfFewEndpointsCanBeCutOff() {
    for (int count = 1; count <= 3; count++) {
      Endpoint[] few = Arrays.copyOf(sixEndpoints(), count);
      Dispatcher dispatcher = cutOff(few);
      assertThat(dispatcher.isCutOff(millis(10))).isTrue();
      assertThat(dispatcher.isCutOff(millis(4_000))).isFalse();
    }
  }

  @Test
  void failedEndpointsBesideOneThatCanBeConnectedToAreNoCut() {
    Dispatcher dispatcher = dispatcher(MODEL, sixEndpoints());
    for (int i = 0; i < 6; i++) {
      if (i == 3) {
        dispatcher.onConnected(sixEndpoints()[i].id());
      } else {
        dispatcher.onConnectFailed(sixEndpoints()[i].id(), millis(i));
      }
    }
    assertThat(dispatcher.isCutOff(millis(10))).isFalse();
  }

  /** A short silence of endpoints that accept connections is not a cut. */
  @Test
  void silentEndpointsAreNoCut() {
    Dispatcher dispatcher = dispatcher(MODEL, sixEndpoints());
    for (Endpoint endpoint : sixEndpoints()) {
      dispatcher.onAttemptEnded(
          new Placement(request("silent" + endpoint.id(), 0, 100, 0), endpoint, 500),
          true,
          AttemptOutcome.SILENT,
          millis(1));
    }
    assertThat(dispatcher.isPartitioned()).isFalse();
    assertThat(dispatcher.isCutOff(millis(2))).isFalse();
  }

  /** A caller that is refused removes its request, as one that leaves does. */
  @Test
  void refusesAllWaitingRequestsWhenTheirListenersRemoveThem() {
    Endpoint endpoint = endpoint("a", 1, 0);
    Dispatcher dispatcher = dispatcher(MODEL, endpoint);
    for (int i = 0; i < 4; i++) {
      dispatcher.submit(request("r" + i, 0, 100, 0), millis(1));
    }
    dispatcher.dispatch(millis(1));
    assertThat(placed).hasSize(1);
    onRefusal = request -> dispatcher.remove(request);
    dispatcher.onPause(endpoint, 60_000, millis(2));
    dispatcher.dispatch(millis(2));
    assertThat(refused).hasSize(3);
    assertThat(dispatcher.waiting()).isEqualTo(0);
  }

  private Dispatcher cutOff(Endpoint... endpoints) {
    Dispatcher dispatcher =
        new Dispatcher(
            MODEL,
            "self",
            "z1",
            new SplittableRandom(7),
            VersionPolicy.ANY,
            RateLimitPolicy.NONE,
            forwarders);
    dispatcher.setEndpoints(List.of(endpoints));
    forwarders.setPeers(Map.of("i2", "z1", "i3", "z2"));
    for (Endpoint endpoint : endpoints) {
      dispatcher.onConnectFailed(endpoint.id(), millis(5));
    }
    return dispatcher;
  }

  /** A request that may have run must not be run by another instance. */
  @Test
  void keepsSentRequestsDuringAPartition() {
    Dispatcher dispatcher = dispatcher(MODEL, sixEndpoints());
    failConnections(dispatcher, 4);
    refused.clear();
    WaitingRequest sent = request("sent", 0, 100, 100);
    sent.markSent();
    dispatcher.submit(sent, millis(100));
    assertThat(refused).isEmpty();
  }

  /** The total rate of reservations at a full endpoint must not grow with the fleet. */
  @Test
  void retriesAFullEndpointLessOftenWithMoreInstances() {
    int few = reservationsInOneSecond(8);
    int many = reservationsInOneSecond(80);
    assertThat(many).isAtMost(few / 4);
    assertThat(10 * many).isAtLeast(few);
  }

  private int reservationsInOneSecond(int instances) {
    Dispatcher dispatcher = dispatcher(MODEL, sixEndpoints());
    List<String> ids = new ArrayList<>();
    for (int i = 0; i < instances; i++) {
      ids.add("i" + i);
    }
    dispatcher.setInstances(ids);
    placed.clear();
    dispatcher.submit(request("waits", 0, 100, 0), 0);
    int reservations = 0;
    for (long now = 0; now < 1_000; now++) {
      dispatcher.dispatch(millis(now));
      for (Placement placement : List.copyOf(placed)) {
        reservations++;
        dispatcher.onAttemptEnded(placement, true, AttemptOutcome.FULL, millis(now));
        dispatcher.submit(placement.request(), millis(now));
      }
      placed.clear();
    }
    return reservations;
  }

  private static Endpoint[] sixEndpoints() {
    Endpoint[] endpoints = new Endpoint[6];
    for (int i = 0; i < endpoints.length; i++) {
      endpoints[i] = endpoint("e" + i, 4, 0);
    }
    return endpoints;
  }

  private void failConnections(Dispatcher dispatcher, int count) {
    for (int i = 0; i < count; i++) {
      dispatcher.onAttemptEnded(
          new Placement(request("lost" + i, 0, 100, 0), sixEndpoints()[i], 500),
          true,
          AttemptOutcome.UNREACHABLE,
          millis(1));
    }
  }

  /** Makes one reservation at an endpoint fail for lack of a slot. */
  private void refuseOnce(Dispatcher dispatcher, Endpoint full, Endpoint... others) {
    WaitingRequest request = request("probe", 0, 100, 0);
    for (Endpoint other : others) {
      request.exclude(other.id());
    }
    dispatcher.submit(request, 0);
    dispatcher.dispatch(0);
    Placement placement = placed.remove(placed.size() - 1);
    assertThat(placement.endpoint()).isEqualTo(full);
    dispatcher.onAttemptEnded(placement, true, AttemptOutcome.FULL, 0);
  }

  @Test
  void triesAnotherEndpointWhenOneIsFull() {
    Dispatcher dispatcher = dispatcher(MODEL, endpoint("a", 4, 0), endpoint("b", 4, 0));
    WaitingRequest request = request("r", 0, 3_000, 0);
    dispatcher.submit(request, 0);
    dispatcher.dispatch(0);
    Placement first = placed.get(0);
    dispatcher.onAttemptEnded(first, true, AttemptOutcome.FULL, 0);
    dispatcher.submit(request, 0);
    dispatcher.dispatch(0);
    assertThat(placed.get(1).endpoint().id()).isNotEqualTo(first.endpoint().id());
  }

  @Test
  void backsOffAndRetriesWhenAllEndpointsAreFull() {
    Dispatcher dispatcher = dispatcher(MODEL, endpoint("a", 4, 0));
    WaitingRequest request = request("r", 0, 3_000, 0);
    dispatcher.submit(request, 0);
    dispatcher.dispatch(0);
    dispatcher.onAttemptEnded(placed.get(0), true, AttemptOutcome.FULL, 0);
    dispatcher.submit(request, 0);
    long nextNanos = dispatcher.dispatch(0);
    assertThat(placed).hasSize(1);
    assertThat(nextNanos).isAtMost(millis(30));
    dispatcher.dispatch(nextNanos);
    assertThat(placed).hasSize(2);
  }

  @Test
  void givesTheSlotToTheHigherPriorityRequest() {
    Dispatcher dispatcher = dispatcher(PLAIN, endpoint("a", 1, 0));
    dispatcher.submit(request("first", 0, 0, 0), 0);
    dispatcher.dispatch(0);
    dispatcher.submit(request("second", 0, 0, 0), 0);
    dispatcher.dispatch(0);
    Placement blocker = placed.get(placed.size() - 1);
    while (placed.size() < 2 && dispatcher.waiting() == 0) {
      dispatcher.submit(request("filler", 0, 0, 0), 0);
      dispatcher.dispatch(0);
      blocker = placed.get(placed.size() - 1);
    }
    dispatcher.submit(request("low", 2, 0, 1), millis(1));
    dispatcher.submit(request("high", 0, 0, 2), millis(2));
    dispatcher.dispatch(millis(2));
    int before = placed.size();
    dispatcher.onAttemptEnded(blocker, false, AttemptOutcome.COMPLETED, millis(3));
    dispatcher.dispatch(millis(3));
    assertThat(placed.size()).isGreaterThan(before);
    assertThat(placed.get(before).request().priority().routePriority()).isEqualTo(0);
  }

  @Test
  void aRequestWhoseFirstAttemptFailedLateIsSentToAnotherEndpoint() {
    Dispatcher dispatcher = dispatcher(MODEL, endpoint("a", 4, 0), endpoint("b", 4, 0));
    WaitingRequest request = request("r", 0, 3_000, 0);
    dispatcher.submit(request, 0);
    dispatcher.dispatch(0);
    dispatcher.onSent(placed.get(0), 0);
    dispatcher.onAttemptEnded(placed.get(0), false, AttemptOutcome.TIMED_OUT, millis(2_000));
    request.exclude(placed.get(0).endpoint().id());
    request.markSent();
    dispatcher.submit(request, millis(2_000));
    dispatcher.dispatch(millis(2_000));
    assertThat(refused).isEmpty();
    assertThat(placed).hasSize(2);
  }

  @Test
  void customerPriorityTakesPrecedenceOverRoutePriority() {
    assertThat(new Priority(0, 5)).isLessThan(new Priority(1, 0));
    assertThat(new Priority(1, 0)).isLessThan(new Priority(1, 2));
  }

  @Test
  void avoidsAFailedEndpointDuringItsBackoff() {
    Dispatcher dispatcher = dispatcher(MODEL, endpoint("a", 4, 0), endpoint("b", 4, 0));
    dispatcher.submit(request("r", 0, 3_000, 0), 0);
    dispatcher.dispatch(0);
    Placement broken = placed.get(0);
    dispatcher.onSent(broken, 0);
    dispatcher.onAttemptEnded(broken, false, AttemptOutcome.BROKEN, 0);
    for (int i = 0; i < 3; i++) {
      dispatcher.submit(request("r" + i, 0, 3_000, 0), millis(1));
    }
    dispatcher.dispatch(millis(1));
    for (Placement placement : placed.subList(1, placed.size())) {
      assertThat(placement.endpoint().id()).isNotEqualTo(broken.endpoint().id());
    }
  }

  @Test
  void neverReusesAnAddressAtWhichAnotherProcessAnswered() {
    Dispatcher dispatcher = dispatcher(MODEL, endpoint("a", 4, 0));
    dispatcher.submit(request("r", 0, 3_000, 0), 0);
    dispatcher.dispatch(0);
    dispatcher.onAttemptEnded(placed.get(0), false, AttemptOutcome.MISDIRECTED, 0);
    dispatcher.submit(request("s", 0, 3_000, 0), 0);
    dispatcher.dispatch(millis(1_000));
    assertThat(placed).hasSize(1);
  }

  @Test
  void limitsTheRequestRateAtAColdEndpoint() {
    Dispatcher dispatcher = dispatcher(MODEL, endpoint("a", 40, 3_000));
    dispatcher.setInstances(List.of("self"));
    for (int i = 0; i < 20; i++) {
      dispatcher.submit(request("r" + i, 0, 10, 0), 0);
    }
    for (long now = 0; now < 1_000; now += 10) {
      dispatcher.dispatch(millis(now));
    }
    assertThat(placed.size()).isAtMost(13);
    assertThat(placed).isNotEmpty();
  }

  @Test
  void refusesWithRetryAfterWhenNoSlotBecomesFree() {
    Dispatcher dispatcher = dispatcher(MODEL);
    dispatcher.submit(request("r", 0, 3_000, 0), 0);
    dispatcher.dispatch(0);
    assertThat(refused).isEmpty();
    dispatcher.dispatch(millis(9_000));
    assertThat(refused).containsExactly("r NO_ENDPOINT");
    assertThat(retryAfterMillis.get(0)).isGreaterThan(0);
  }

  @Test
  void aRestartedProcessStartsWithoutHistory() {
    Dispatcher dispatcher = dispatcher(MODEL, endpoint("a", 4, 0));
    dispatcher.submit(request("r", 0, 3_000, 0), 0);
    dispatcher.dispatch(0);
    dispatcher.onAttemptEnded(placed.get(0), false, AttemptOutcome.MISDIRECTED, 0);
    Endpoint restarted = new Endpoint("a", "model", address(), "z1", "v1", 4, false, 0, 77, 0);
    dispatcher.setEndpoints(List.of(restarted));
    dispatcher.submit(request("s", 0, 3_000, 0), 0);
    dispatcher.dispatch(millis(1));
    assertThat(placed).hasSize(2);
  }

  @Test
  void reservesNoLongerThanTheServicePermits() {
    Service brief = new Service("model", 100, 0, 0, Optional.of(new Service.Reservations(120)));
    Dispatcher dispatcher = dispatcher(brief, endpoint("e", 4, 0));
    dispatcher.submit(request("r", 0, 3_000, 0), millis(1));
    dispatcher.dispatch(millis(1));
    assertThat(placed.get(0).reservationMillis()).isEqualTo(120);
  }

  @Test
  void sendsALongAnswerToAnEndpointThatCompletesItBeforeTheDeadline() {
    Endpoint fast = endpoint("fast", 4, 0);
    Endpoint slow = endpoint("slow", 4, 0);
    Dispatcher dispatcher = dispatcher(MODEL, fast, slow);
    recordFirstEvent(dispatcher, fast, 100);
    recordFirstEvent(dispatcher, slow, 90);
    dispatcher.onStreamEnd(answered(fast, 300), 100, 100 * 20);
    dispatcher.onStreamEnd(answered(slow, 300), 100, 100 * 60);
    // 200 events take 4 s at the fast endpoint and 12 s at the slow one; the deadline is in 10 s.
    dispatcher.submit(request("long", 0, new RequestSize(3_000, 3_100, 600), 0), millis(1));
    dispatcher.submit(request("short", 0, new RequestSize(3_000, 3_100, 60), 0), millis(1));
    dispatcher.dispatch(millis(1));
    for (Placement placement : placed) {
      boolean isLong = placement.request().requestId().equals("long");
      assertThat(placement.endpoint()).isEqualTo(isLong ? fast : slow);
    }
    assertThat(placed).hasSize(2);
  }

  /** Each reservation at an endpoint that closes its connections needs a new connection. */
  @Test
  void retriesAFullEndpointThatClosesConnectionsRarely() {
    assertThat(reservationsInTwoSeconds(AttemptOutcome.FULL_AND_CLOSING)).isAtMost(8);
    assertThat(reservationsInTwoSeconds(AttemptOutcome.FULL)).isAtLeast(100);
  }

  private int reservationsInTwoSeconds(AttemptOutcome outcome) {
    Endpoint endpoint = endpoint("e", 4, 0);
    Dispatcher dispatcher = dispatcher(MODEL, endpoint);
    placed.clear();
    WaitingRequest request = request("r", 0, 3_000, 0);
    request.markSent();
    dispatcher.submit(request, millis(1));
    for (int now = 1; now <= 2_000; now++) {
      int before = placed.size();
      dispatcher.dispatch(millis(now));
      if (placed.size() > before) {
        dispatcher.onAttemptEnded(placed.get(before), true, outcome, millis(now));
        dispatcher.submit(request, millis(now));
      }
    }
    return placed.size();
  }

  private Placement answered(Endpoint endpoint, long expectedTokens) {
    WaitingRequest request =
        request("answered", 0, new RequestSize(3_000, 3_100, expectedTokens), 0);
    return new Placement(request, endpoint, 500);
  }

  private void recordFirstEvent(Dispatcher dispatcher, Endpoint endpoint, double firstMillis) {
    dispatcher.onFirstEvent(
        new Placement(request("learn", 0, 3_000, 0), endpoint, 500), firstMillis);
  }

  private static Dispatcher dispatcher(Service service, Endpoint... endpoints) {
    Dispatcher dispatcher = new Dispatcher(service, "self", "z1", new SplittableRandom(7));
    dispatcher.setEndpoints(List.of(endpoints));
    return dispatcher;
  }

  private WaitingRequest request(String id, int priority, long promptTokens, long arrivalMillis) {
    return request(
        id, priority, new RequestSize(promptTokens, promptTokens + 100, 0), arrivalMillis);
  }

  private WaitingRequest request(String id, int priority, RequestSize size, long arrivalMillis) {
    List<WaitingRequest> self = new ArrayList<>();
    WaitingRequest request =
        new WaitingRequest(
            id,
            "kind" + priority,
            new Priority(1, priority),
            size,
            PromptPrefix.NONE,
            millis(arrivalMillis),
            millis(arrivalMillis + 1_000),
            millis(arrivalMillis + 10_000),
            /* isCallerRetry= */ false,
            new WaitingRequest.Listener() {
              @Override
              public void onPlaced(Placement placement) {
                placed.add(placement);
                onPlacement.run();
              }

              @Override
              public void onRefused(ErrorKind reason, String detail, long retryMillis) {
                refused.add(id + " " + reason);
                retryAfterMillis.add(retryMillis);
                self.forEach(onRefusal);
              }
            });
    self.add(request);
    return request;
  }

  private static Endpoint endpoint(String id, int capacity, long coldMillis) {
    return new Endpoint(id, "model", address(), "z1", "v1", capacity, false, coldMillis, 1, 0);
  }

  private static InetSocketAddress address() {
    return InetSocketAddress.createUnresolved("127.0.0.1", 1);
  }

  private static long millis(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }
}
