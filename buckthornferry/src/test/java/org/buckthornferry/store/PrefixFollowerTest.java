package org.buckthornferry.store;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.buckthornferry.store.StoreException.Kind;
import org.buckthornferry.testing.FakeSharedStore;
import org.buckthornferry.testing.ManualScheduler;
import org.junit.jupiter.api.Test;

final class PrefixFollowerTest {
  private final ManualScheduler time = new ManualScheduler();
  private final FakeSharedStore store = new FakeSharedStore(time);
  private final List<String> events = new ArrayList<>();
  private final PrefixFollower follower =
      new PrefixFollower(
          store,
          "a/",
          1_000,
          new PrefixFollower.Listener() {
            @Override
            public void onChanged(PrefixFollower changed) {
              events.add("changed " + keys(changed));
            }

            @Override
            public void onReachable(long outageMillis) {
              events.add(outageMillis == 0 ? "reachable" : "back");
            }

            @Override
            public void onUnreachable(Kind reason) {
              events.add("unreachable " + reason);
            }
          },
          time,
          time,
          new SplittableRandom(3));

  @Test
  void listsAllPagesAndThenFollowsChanges() {
    for (int i = 0; i < 8; i++) {
      store.put("a/" + i, "v");
    }
    store.put("b/1", "other");
    follower.start();
    assertThat(follower.items()).hasSize(8);
    store.put("a/9", "v");
    store.remove("a/0");
    assertThat(keys(follower)).contains("a/9");
    assertThat(keys(follower)).doesNotContain("a/0");
  }

  @Test
  void listsAgainWhenTheWatchHistoryIsLost() {
    store.put("a/1", "v");
    follower.start();
    store.put("b/1", "v");
    store.forgetHistory();
    store.remove("a/1");
    store.put("a/2", "v");
    store.forgetHistory();
    time.advance(1_000);
    assertThat(keys(follower)).containsExactly("a/2");
  }

  @Test
  void keepsItsCopyThroughAnOutageAndCatchesUp() {
    store.put("a/1", "v");
    follower.start();
    store.failWith(Kind.UNAVAILABLE);
    store.endWatches(Kind.UNAVAILABLE);
    store.put("a/2", "v");
    time.advance(5_000);
    assertThat(keys(follower)).containsExactly("a/1");
    assertThat(follower.isReachable()).isFalse();
    store.failWith(null);
    time.advance(1_000);
    assertThat(keys(follower)).containsExactly("a/1", "a/2");
    assertThat(events).contains("unreachable UNAVAILABLE");
    assertThat(events).contains("back");
  }

  /** Guards against outages that last until the next change although only one watch was cut. */
  @Test
  void noticesAtOnceThatTheStoreAnswersAfterACutWatch() {
    follower.start();
    time.advance(500);
    store.cutWatches();
    assertThat(events).contains("unreachable OUTCOME_UNKNOWN");
    time.advance(300);
    assertThat(follower.isReachable()).isTrue();
    assertThat(events).contains("back");
  }

  @Test
  void limitsItsCallsWhileTheStoreIsRateLimited() {
    store.failWith(Kind.RATE_LIMITED);
    follower.start();
    time.advance(10_000);
    assertThat(store.calls()).isAtMost(40);
  }

  @Test
  void backsOffWhileTheStoreIsUnreachable() {
    follower.start();
    store.failWith(Kind.UNAVAILABLE);
    store.endWatches(Kind.UNAVAILABLE);
    int before = store.calls();
    time.advance(9_000);
    assertThat(store.calls() - before).isAtMost(20);
  }

  @Test
  void batchesChangesInQuickSuccession() {
    store.put("a/0", "v");
    follower.start();
    int before = store.calls();
    for (int i = 1; i <= 25; i++) {
      time.advance(80);
      store.put("a/" + i, "v");
    }
    time.advance(1_000);
    assertThat(follower.items()).hasSize(26);
    assertThat(store.calls() - before).isAtMost(16);
  }

  @Test
  void replacesItsCopyOnlyByANewerOne() {
    store.put("a/1", "v");
    follower.start();
    StorePosition position = follower.position();
    StorePosition later = new StorePosition(position.era(), position.revision() + 5);
    assertThat(follower.replaceIfNewer(position, List.of())).isFalse();
    List<StoreItem> items = List.of(StoreItem.stored("a/7", new byte[0], later));
    assertThat(follower.replaceIfNewer(later, items)).isTrue();
    assertThat(keys(follower)).containsExactly("a/7");
  }

  private static List<String> keys(PrefixFollower follower) {
    return follower.items().stream().map(StoreItem::key).toList();
  }
}
