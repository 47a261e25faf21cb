package org.buckthornferry.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.buckthornferry.catalog.Endpoint;
import org.buckthornferry.store.StoreItem;
import org.buckthornferry.store.StorePosition;
import org.junit.jupiter.api.Test;

final class EndpointTrackerTest {
  private final EndpointTracker tracker = new EndpointTracker(EndpointTrackerTest::decode);

  @Test
  void excludesDrainingEndpointsAndEvacuatedDomains() {
    tracker.update(
        List.of(item("a ready z1", 1), item("b draining z1", 2), item("c ready z2", 3)), 0);
    assertThat(ids(Set.of(), 0)).containsExactly("a", "c");
    assertThat(ids(Set.of("z2"), 0)).containsExactly("a");
  }

  @Test
  void removesAnEndpointAtOnceWithItsRegistration() {
    tracker.update(List.of(item("a ready z1", 1)), 0);
    tracker.update(List.of(), millis(1));
    assertThat(ids(Set.of(), millis(1))).isEmpty();
  }

  @Test
  void keepsARegistrationThatLapsedInAnOutageForTheGracePeriod() {
    tracker.update(List.of(item("a ready z1", 1)), 0);
    tracker.onStoreRecovered(millis(5_000));
    tracker.update(List.of(), millis(5_010));
    assertThat(ids(Set.of(), millis(5_010))).containsExactly("a");
    assertThat(ids(Set.of(), millis(5_000 + EndpointTracker.LAPSE_GRACE_MILLIS))).isEmpty();
  }

  @Test
  void keepsARegistrationThatARestoredStoreHasLostForTheGracePeriod() {
    StoreItem registered = item("a ready z1", 5);
    StoreItem lost =
        new StoreItem(registered.key(), registered.value(), registered.since(), 0, false);
    tracker.update(List.of(registered), 0);
    tracker.onStoreRecovered(millis(5_000));
    tracker.update(List.of(lost), millis(5_000));
    assertThat(ids(Set.of(), millis(5_010))).containsExactly("a");
    assertThat(ids(Set.of(), millis(5_000 + EndpointTracker.LAPSE_GRACE_MILLIS))).isEmpty();
  }

  /** Guards against endpoints that are kept for as long as outages follow each other. */
  @Test
  void aFurtherOutageDoesNotProlongTheGracePeriodOfALapsedRegistration() {
    tracker.update(List.of(item("a ready z1", 1)), 0);
    tracker.onStoreRecovered(millis(5_000));
    tracker.update(List.of(), millis(5_010));
    tracker.onStoreRecovered(millis(6_500));
    assertThat(ids(Set.of(), millis(6_900))).containsExactly("a");
    assertThat(ids(Set.of(), millis(5_000 + EndpointTracker.LAPSE_GRACE_MILLIS))).isEmpty();
  }

  @Test
  void doesNotUseALapsedEndpointThatWasDraining() {
    tracker.update(List.of(item("a draining z1", 1)), 0);
    tracker.onStoreRecovered(millis(5_000));
    tracker.update(List.of(), millis(5_010));
    assertThat(ids(Set.of(), millis(5_010))).isEmpty();
  }

  @Test
  void ignoresUnreadableRegistrations() {
    tracker.update(List.of(item("a unreadable z1", 1), item("b ready z1", 2)), 0);
    assertThat(ids(Set.of(), 0)).containsExactly("b");
  }

  private List<String> ids(Set<String> evacuatedDomains, long nowNanos) {
    return tracker.usable(evacuatedDomains, nowNanos).stream().map(Endpoint::id).toList();
  }

  private static StoreItem item(String text, long revision) {
    return StoreItem.stored(
        text.substring(0, 1),
        text.getBytes(java.nio.charset.StandardCharsets.UTF_8),
        new StorePosition(1, revision));
  }

  /** Decodes a registration of the form {@code ID STATE DOMAIN}. */
  static Optional<Endpoint> decode(StoreItem item, long nowNanos) {
    List<String> words = List.of(item.text().split(" ", -1));
    if (words.get(1).equals("unreadable")) {
      return Optional.empty();
    }
    return Optional.of(
        new Endpoint(
            words.get(0),
            "s",
            InetSocketAddress.createUnresolved("127.0.0.1", 1),
            words.get(2),
            "v1",
            4,
            words.get(1).equals("draining"),
            0,
            0,
            nowNanos));
  }

  private static long millis(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }
}
