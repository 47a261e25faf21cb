package org.buckthornferry.duty;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.buckthornferry.control.Blackboard;
import org.buckthornferry.fleet.FleetView;
import org.buckthornferry.fleet.StoreView;
import org.buckthornferry.store.SharedStore;
import org.buckthornferry.store.StoreChangeSource;
import org.buckthornferry.store.StoreException.Kind;
import org.buckthornferry.testing.FakeSharedStore;
import org.buckthornferry.testing.ManualScheduler;
import org.buckthornferry.testing.VirtualInstances;
import org.buckthornferry.util.SuspensionCountingClock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;

/** Tests the usage reports of a fleet on virtual time, whose start is that of window 0. */
@ExtendWith(QuietDutyLog.class)
final class UsageReporterTest {
  private static final DutyBounds BOUNDS = DutyBounds.DEFAULTS;
  private static final long WINDOW_MILLIS = BOUNDS.reportWindowMillis();

  private final ManualScheduler time = new ManualScheduler();
  private final FakeSharedStore store = new FakeSharedStore(time);
  private final VirtualInstances network = new VirtualInstances(time, store);
  private final SplittableRandom random = new SplittableRandom(5);
  private final Map<String, Member> members = new TreeMap<>();
  private final Map<Long, Map<String, Long>> truth = new TreeMap<>();
  private final Map<Long, Map<String, Long>> accepted = new TreeMap<>();
  private final List<String> violations = new ArrayList<>();
  private boolean isPlatformAway;

  /** One process with its counter. */
  private final class Member implements DutyPlatform {
    private final VirtualInstances.Node node;
    private final UsageCounter counter;
    private final UsageReporter reporter;
    private final StoreView view;
    private final InetSocketAddress address;
    private final Blackboard blackboard = new Blackboard();
    private final Consumer<FleetView> fleet = blackboard.writerOf(FleetView.ENTRY);

    private Member(String id, long offsetMillis) {
      address = InetSocketAddress.createUnresolved(id, 1);
      node = network.start(address);
      SuspensionCountingClock clock =
          new SuspensionCountingClock(node, () -> node.timeOfDayMillis() + offsetMillis);
      SharedStore reached = node.store();
      view =
          new StoreView(
              reached,
              new StoreChangeSource(reached, "", () -> 1_000, clock),
              (one, other) -> false,
              node,
              clock,
              random.split());
      counter = new UsageCounter(UsageReporter.retentionMillis(BOUNDS), node);
      reporter =
          new UsageReporter(
              BOUNDS,
              counter,
              new StoreDutyHolders(
                  reached, view, blackboard, id, BOUNDS, node, clock, random.split()),
              this,
              reached,
              view,
              blackboard,
              (other, kind, message, millis) -> node.call(other, kind.name(), message, millis),
              id,
              new MetricRegistry(),
              node,
              node,
              () -> node.timeOfDayMillis() + offsetMillis,
              random.split());
      node.respondWith(
          (kind, message) -> {
            try {
              return CompletableFuture.completedFuture(reporter.answer(message));
            } catch (IOException e) {
              return CompletableFuture.failedFuture(e);
            }
          });
    }

    private void runRequests() {
      if (node.isDead()) {
        return;
      }
      String customer = "c" + random.nextInt(4);
      counter.onRunBegan(customer, node.nanoTime());
      truth
          .computeIfAbsent(time.nowMillis() / WINDOW_MILLIS, window -> new TreeMap<>())
          .merge(customer, 1L, Long::sum);
      node.schedule(this::runRequests, 5 + random.nextLong(40));
    }

    @Override
    public CompletableFuture<DutyReply> reportUsage(
        long fencingToken, long windowId, Map<String, Long> counts) {
      if (isPlatformAway) {
        return CompletableFuture.completedFuture(DutyReply.UNKNOWN);
      }
      Map<String, Long> before = accepted.putIfAbsent(windowId, Map.copyOf(counts));
      if (before != null && !before.equals(counts)) {
        violations.add("window " + windowId + " reported with different counts");
      }
      if (time.nowMillis() > (windowId + 1) * WINDOW_MILLIS + BOUNDS.usageLateMillis()) {
        violations.add("window " + windowId + " is late at " + time.nowMillis());
      }
      return CompletableFuture.completedFuture(DutyReply.ACCEPTED);
    }

    @Override
    public CompletableFuture<DutyReply> orderEndpoints(
        long fencingToken, String serviceName, String failureDomain, int desired) {
      throw new UnsupportedOperationException("not part of the test");
    }
  }

  private void start(String id, long offsetMillis) {
    members.put(id, new Member(id, offsetMillis));
    list();
    Member member = members.get(id);
    member.view.start();
    member.reporter.start();
    member.runRequests();
  }

  private void list() {
    Map<String, InetSocketAddress> listed = new HashMap<>();
    members.forEach((other, known) -> listed.put(other, known.address));
    members
        .values()
        .forEach(known -> known.fleet.accept(new FleetView(listed, Map.of(), Map.of())));
  }

  /** Starts instances whose clocks are off by the given numbers of milliseconds. */
  private void startAll(long... offsetsMillis) {
    for (int i = 0; i < offsetsMillis.length; i++) {
      start("i" + i, offsetsMillis[i]);
    }
  }

  private String holderId() {
    return store.value(StoreDutyHolder.key(UsageReporter.SUBJECT)).replaceFirst(".* ", "");
  }

  private void kill(String id) {
    members.get(id).node.kill();
    time.schedule(
        () -> {
          members.remove(id);
          list();
        },
        8_000);
  }

  private void assertReported(long firstWindow, long lastWindow, double tolerance) {
    assertThat(violations).isEmpty();
    for (long window = firstWindow; window <= lastWindow; window++) {
      assertWithMessage("reports %s", accepted.keySet()).that(accepted).containsKey(window);
      Map<String, Long> reported = accepted.get(window);
      truth
          .get(window)
          .forEach(
              (customer, runs) ->
                  assertThat(reported.getOrDefault(customer, 0L).doubleValue())
                      .isWithin(tolerance * runs)
                      .of(runs));
    }
  }

  /** Guards against runs that are lost, counted twice or counted in a neighbouring window. */
  @Test
  void reportsEveryWindowExactly() {
    startAll(0, 0, 0, 0, 0);
    time.advance(60_000);
    assertReported(0, 8, 0.01);
  }

  /** Guards against windows that are cut by a clock that is wrong, also that of the holder. */
  @Test
  void subtractsClockOffsets() {
    startAll(0, -6_000, 3, 6_000, -2);
    time.advance(40_000);
    assertReported(0, 4, 0.03);
    kill(holderId());
    time.advance(40_000);
    assertReported(5, 12, BOUNDS.usageTolerance());
  }

  /** Guards against a missing, late or different report when the holder dies while it reports. */
  @Test
  void successorRepeatsWhatIsWritten() {
    for (long killMillis = 18_000; killMillis < 24_000; killMillis += 1_700) {
      UsageReporterTest run = new UsageReporterTest();
      run.startAll(0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0);
      run.time.advance(killMillis);
      run.kill(run.holderId());
      run.time.advance(40_000);
      run.assertReported(0, 8, BOUNDS.usageTolerance());
    }
  }

  /** Guards against a second, different report after the store has lost the written one. */
  @Test
  void repeatsAReportThatARestoredStoreHasLost() {
    startAll(0, 0, 0, 0, 0, 0, 0, 0);
    time.advance(18_000);
    FakeSharedStore.Snapshot copy = store.snapshot();
    time.advance(2_500);
    store.restore(copy);
    time.advance(500);
    kill(holderId());
    time.advance(30_000);
    assertReported(0, 6, BOUNDS.usageTolerance());
  }

  /** Guards against guessed reports: after the loss of all instances nobody knows the counts. */
  @Test
  void omitsWindowsWhoseCountsAreLost() {
    startAll(0, 0, 0, 0);
    time.advance(23_000);
    List<String> ids = List.copyOf(members.keySet());
    ids.forEach(id -> members.get(id).node.kill());
    members.clear();
    time.advance(2_000);
    startAll(0, 0, 0, 0);
    time.advance(40_000);
    // The counts of windows 3 and 4 were lost; those of window 5 began with the new processes.
    assertThat(accepted).doesNotContainKey(4L);
    assertReported(6, 9, 0.01);
  }

  /** Guards against reports that are lost while the platform or the store is away for a while. */
  @Test
  void catchesUpAfterOutages() {
    startAll(0, 0, 0, 0);
    time.advance(18_000);
    isPlatformAway = true;
    time.advance(4_000);
    isPlatformAway = false;
    time.advance(6_000);
    store.failWith(Kind.UNAVAILABLE);
    time.advance(3_000);
    store.failWith(null);
    time.advance(30_000);
    assertReported(0, 8, BOUNDS.usageTolerance());
  }

  /**
   * Guards against a report of the few instances that are still registered: each instance lists
   * only itself after all registrations have ended, and the others go on.
   */
  @Test
  void waitsForInstancesWhoseRegistrationHasEnded() {
    startAll(0, 0, 0, 0, 0, 0, 0, 0, 0, 0);
    time.advance(30_000);
    String holder = holderId();
    members.get(holder).node.kill();
    members.forEach(
        (self, known) -> {
          Map<String, InetSocketAddress> lapsed = new HashMap<>();
          members.forEach((id, other) -> lapsed.put(id, other.address));
          lapsed.remove(self);
          known.fleet.accept(new FleetView(Map.of(self, known.address), lapsed, Map.of()));
        });
    // Then the instances have registered again, and the entry of the dead one is dropped.
    time.advance(10_000);
    members.remove(holder);
    list();
    time.advance(20_000);
    assertReported(0, 9, BOUNDS.usageTolerance());
  }
}
