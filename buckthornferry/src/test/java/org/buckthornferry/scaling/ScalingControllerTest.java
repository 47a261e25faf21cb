package org.buckthornferry.scaling;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.buckthornferry.catalog.Catalog;
import org.buckthornferry.catalog.Endpoint;
import org.buckthornferry.catalog.Service;
import org.buckthornferry.control.Blackboard;
import org.buckthornferry.dispatch.AttemptOutcome;
import org.buckthornferry.duty.DutyHolder;
import org.buckthornferry.duty.DutyPlatform;
import org.buckthornferry.duty.DutyReply;
import org.buckthornferry.duty.DutySubject;
import org.buckthornferry.fleet.EndpointList;
import org.buckthornferry.fleet.FleetView;
import org.buckthornferry.http.HttpLimits;
import org.buckthornferry.testing.ManualScheduler;
import org.junit.jupiter.api.Test;

/** Tests reports of demand and orders of two instances in two failure domains. */
final class ScalingControllerTest {
  private final ManualScheduler time = new ManualScheduler();
  private final Map<String, Instance> instances = new HashMap<>();
  private final List<Ordered> orders = new ArrayList<>();
  private DutyReply reply = DutyReply.ACCEPTED;
  private Optional<String> holderId = Optional.of("i0");

  private record Ordered(long millis, String failureDomain, int desired) {}

  /** An instance whose holders name the instance in {@link #holderId}. */
  private final class Instance implements DutyPlatform {
    private final DemandCounter counter = new DemandCounter(time);
    private final List<TestHolder> holders = new ArrayList<>();
    private final ScalingController controller;

    private Instance(String id, String domain) {
      Blackboard blackboard = new Blackboard();
      Service service =
          new Service(
              "model",
              100,
              0,
              0,
              Optional.empty(),
              false,
              Optional.of(new Service.Scaling(2, 40, 8_000)));
      blackboard
          .writerOf(Catalog.ENTRY)
          .accept(new Catalog(1, List.of(), List.of(service), List.of(), HttpLimits.INTERNAL));
      InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
      blackboard
          .writerOf(FleetView.ENTRY)
          .accept(new FleetView(Map.of("i0", address, "i1", address), Map.of(), Map.of()));
      blackboard
          .writerOf(EndpointList.ENTRY)
          .accept(
              new EndpointList(
                  IntStream.range(0, 8)
                      .mapToObj(
                          i ->
                              new Endpoint(
                                  "e" + i, "model", address, "z" + i % 2, "v", 4, false, 0, 0, 0))
                      .toList(),
                  true));
      controller =
          new ScalingController(
              (subject, listener) -> {
                holders.add(new TestHolder(id, subject, listener));
                return holders.get(holders.size() - 1);
              },
              this,
              counter,
              blackboard,
              (other, kind, message, timeoutMillis) -> answer(message),
              id,
              domain,
              time,
              time,
              new MetricRegistry(),
              new SplittableRandom(1));
      instances.put(id, this);
      controller.start();
    }

    @Override
    public CompletableFuture<DutyReply> reportUsage(
        long fencingToken, long windowId, Map<String, Long> counts) {
      throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<DutyReply> orderEndpoints(
        long fencingToken, String serviceName, String failureDomain, int desired) {
      orders.add(new Ordered(time.nowMillis(), failureDomain, desired));
      return CompletableFuture.completedFuture(reply);
    }
  }

  private CompletableFuture<byte[]> answer(byte[] message) {
    try {
      return CompletableFuture.completedFuture(
          instances.get(holderId.orElseThrow()).controller.answer(message));
    } catch (IOException e) {
      return CompletableFuture.failedFuture(e);
    }
  }

  private final class TestHolder implements DutyHolder {
    private final String instanceId;
    private final DutySubject subject;
    private final DutyHolder.Listener listener;

    private TestHolder(String instanceId, DutySubject subject, DutyHolder.Listener listener) {
      this.instanceId = instanceId;
      this.subject = subject;
      this.listener = listener;
    }

    @Override
    public DutySubject subject() {
      return subject;
    }

    @Override
    public void start() {
      fencingToken().ifPresent(listener::onGained);
    }

    @Override
    public CompletableFuture<Void> stop() {
      return CompletableFuture.completedFuture(null);
    }

    @Override
    public Optional<Long> fencingToken() {
      return holderId.filter(instanceId::equals).map(id -> 7L);
    }

    @Override
    public void onReply(long fencingToken, DutyReply reply) {}

    @Override
    public Optional<String> holderId() {
      return holderId;
    }
  }

  /** Guards against a holder that knows only its own demand, and against needless calls. */
  @Test
  void ordersForTheDemandOfAllInstancesOnce() {
    start();
    play(6);
    // Surges of 1.7 to 2.4 times 40 slots at a utilization of 0.9; half of them in each domain.
    assertThat(last("z0").desired).isAtLeast(10);
    assertThat(last("z0").desired).isAtMost(14);
    orders.clear();
    play(8);
    assertThat(orders).isEmpty();
  }

  /** Guards against a rejected order that is lost, changed, or repeated too fast. */
  @Test
  void repeatsARejectedOrder() {
    start();
    play(3);
    reply = DutyReply.RATE_LIMITED;
    orders.clear();
    play(7);
    reply = DutyReply.ACCEPTED;
    play(6);
    List<Ordered> repeated =
        orders.stream().filter(order -> order.failureDomain.equals("z0")).toList();
    assertThat(repeated.size()).isAtLeast(3);
    for (int i = 1; i < repeated.size(); i++) {
      assertThat(repeated.get(i).desired).isEqualTo(repeated.get(0).desired);
      assertThat(repeated.get(i).millis - repeated.get(i - 1).millis).isAtLeast(2_000);
    }
    assertThat(last("z0").millis).isAtMost(12_000);
  }

  /** Guards against a new holder that orders less than its predecessor, or without a token. */
  @Test
  void aNewHolderContinuesFromTheOrderedNumber() {
    start();
    play(6);
    final int before = last("z0").desired;
    orders.clear();
    holderId = Optional.of("i1");
    instances.get("i0").holders.forEach(holder -> holder.listener.onLost(7));
    play(3);
    assertThat(orders).isEmpty();
    instances.get("i1").holders.forEach(holder -> holder.listener.onGained(7));
    play(5);
    assertThat(orders.stream().map(Ordered::desired).distinct().toList()).containsExactly(before);
  }

  private void start() {
    instances.put("i0", new Instance("i0", "z0"));
    instances.put("i1", new Instance("i1", "z1"));
  }

  private Ordered last(String failureDomain) {
    return orders.stream()
        .filter(order -> order.failureDomain.equals(failureDomain))
        .reduce((first, second) -> second)
        .orElseThrow();
  }

  /** Lets each instance serve 20 requests of one second in each second. */
  private void play(int seconds) {
    for (int second = 0; second < seconds; second++) {
      long sentNanos = time.nanoTime();
      for (Instance instance : instances.values()) {
        for (int i = 0; i < 20; i++) {
          instance.counter.onArrival("model", false);
          instance.counter.onSent("model");
        }
      }
      time.advance(1_000);
      for (Instance instance : instances.values()) {
        for (int i = 0; i < 20; i++) {
          instance.counter.onAttemptEnded("model", sentNanos, AttemptOutcome.COMPLETED);
          instance.counter.onEnded("model");
        }
      }
    }
  }
}
