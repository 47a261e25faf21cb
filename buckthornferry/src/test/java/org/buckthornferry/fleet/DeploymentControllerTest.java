package org.buckthornferry.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.SplittableRandom;
import org.buckthornferry.catalog.Endpoint;
import org.buckthornferry.control.Blackboard;
import org.buckthornferry.store.StoreChangeSource;
import org.buckthornferry.store.StoreException.Kind;
import org.buckthornferry.testing.FakeSharedStore;
import org.buckthornferry.testing.ManualScheduler;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests which endpoints stay usable when their registrations disappear around failed watches. */
final class DeploymentControllerTest {
  private static final long WATCH_MILLIS = 1_800;
  private static final long REPORT_MILLIS = OperatingBounds.DEFAULTS.endpointReportMillis();

  private final ManualScheduler time = new ManualScheduler();
  private final FakeSharedStore store = new FakeSharedStore(time);
  private final Blackboard blackboard = new Blackboard();
  private final StoreView view =
      new StoreView(
          store,
          new StoreChangeSource(store, StoreView.ALL_KEYS, () -> WATCH_MILLIS, time),
          (newer, older) -> false,
          time,
          time,
          new SplittableRandom(1));

  @BeforeEach
  void start() {
    store.put("endpoint/a", "a ready z1");
    store.put("endpoint/b", "b ready z1");
    new DeploymentController(
        view, new TestDeploymentSource("s", 0), blackboard, () -> {}, time, time);
    view.start();
    time.advance(1);
    assertThat(usable()).containsExactly("a", "b");
  }

  /** Guards against requests to a removed endpoint because the event ended a supposed outage. */
  @Test
  void dropsARemovedEndpointAtOnceAfterACutWatch() {
    time.advance(700);
    store.cutWatches();
    time.advance(700);
    store.remove("endpoint/a");
    time.advance(1);
    assertThat(usable()).containsExactly("b");
  }

  /** Guards against endpoints that are kept for as long as watches are cut and changes arrive. */
  @Test
  void dropsARemovedEndpointInTimeWhileEveryWatchIsCut() {
    for (int i = 0; i < 20; i++) {
      time.advance(700);
      store.cutWatches();
      store.put("endpoint/c", "c ready z" + i);
    }
    store.cutWatches();
    store.remove("endpoint/a");
    for (int i = 0; i < 5; i++) {
      time.advance(350);
      assertThat(usable()).containsExactly("b", "c");
      store.cutWatches();
    }
  }

  @Test
  void keepsARegistrationThatLapsedInAnOutage() {
    store.failWith(Kind.UNAVAILABLE);
    store.endWatches(Kind.UNAVAILABLE);
    time.advance(3 * REPORT_MILLIS);
    store.remove("endpoint/a");
    store.failWith(null);
    time.advance(700);
    assertThat(view.isReachable()).isTrue();
    assertIsUsableForTheGracePeriod();
  }

  @Test
  void keepsARegistrationThatLapsesRightAfterAnOutage() {
    store.failWith(Kind.UNAVAILABLE);
    store.endWatches(Kind.UNAVAILABLE);
    time.advance(3 * REPORT_MILLIS);
    store.failWith(null);
    time.advance(700);
    store.remove("endpoint/a");
    time.advance(1);
    assertIsUsableForTheGracePeriod();
  }

  /** Guards against lapses in an outage of which only one unanswered watch tells. */
  @Test
  void keepsARegistrationThatLapsedWhileAWatchGotNoResponse() {
    time.advance(WATCH_MILLIS - 100);
    store.endWatches(Kind.OUTCOME_UNKNOWN);
    store.remove("endpoint/a");
    time.advance(700);
    assertThat(view.isReachable()).isTrue();
    assertIsUsableForTheGracePeriod();
  }

  /** Guards against lapses in an outage that a waiting watch learns of at its end only. */
  @Test
  void keepsARegistrationThatLapsedBeforeAWatchWasRefused() {
    time.advance(WATCH_MILLIS - 100);
    store.endWatches(Kind.UNAVAILABLE);
    time.advance(700);
    store.remove("endpoint/a");
    time.advance(1);
    assertThat(usable()).containsExactly("a", "b");
  }

  private void assertIsUsableForTheGracePeriod() {
    assertThat(usable()).containsExactly("a", "b");
    time.advance(EndpointTracker.LAPSE_GRACE_MILLIS);
    assertThat(usable()).containsExactly("b");
  }

  private List<String> usable() {
    return blackboard.read(EndpointList.ENTRY).endpoints().stream()
        .map(Endpoint::id)
        .sorted()
        .toList();
  }
}
