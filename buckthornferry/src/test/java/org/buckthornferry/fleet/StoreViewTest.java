package org.buckthornferry.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.buckthornferry.store.StoreChangeSource;
import org.buckthornferry.testing.FakeSharedStore;
import org.buckthornferry.testing.ManualScheduler;
import org.junit.jupiter.api.Test;

final class StoreViewTest {
  private final ManualScheduler time = new ManualScheduler();
  private final FakeSharedStore store = new FakeSharedStore(time);
  private final StoreView view =
      new StoreView(
          store,
          new StoreChangeSource(store, StoreView.ALL_KEYS, () -> 1_000, time),
          (newer, older) -> false,
          time,
          time,
          new SplittableRandom(1));
  private final List<String> notified = new ArrayList<>();

  @Test
  void notifiesASubscriberOnlyOfChangesUnderItsPrefix() {
    subscribe("a/", false);
    subscribe("b/", false);
    view.start();
    notified.clear();
    store.put("a/1", "v");
    time.advance(500);
    store.remove("a/1");
    time.advance(500);
    assertThat(notified).containsExactly("a/", "a/");
  }

  @Test
  void aFailingSubscriberAffectsNeitherTheOthersNorTheCopy() {
    subscribe("a/", true);
    subscribe("a/1", false);
    view.start();
    notified.clear();
    store.put("a/1", "v");
    time.advance(500);
    store.put("a/12", "w");
    time.advance(500);
    assertThat(notified).containsExactly("a/1", "a/1");
    assertThat(view.items("a/")).hasSize(2);
  }

  private void subscribe(String prefix, boolean fails) {
    view.subscribe(
        new StoreView.Subscriber() {
          @Override
          public String prefix() {
            return prefix;
          }

          @Override
          public void onChanged() {
            if (fails) {
              throw new IllegalStateException("unexpected value");
            }
            notified.add(prefix);
          }
        });
  }
}
