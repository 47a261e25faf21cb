package org.buckthornferry.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class FleetSlotsTest {
  private final FleetSlots slots = new FleetSlots();
  private final FleetSlots.Terms terms = new FleetSlots.Terms(3, 100);

  @Test
  void grantsNoMoreSlotsThanThereAre() {
    assertThat(slots.take("a", 0, terms, 0)).isEqualTo(0);
    assertThat(slots.take("b", 0, terms, 0)).isEqualTo(0);
    assertThat(slots.take("b", 1, terms, 0)).isEqualTo(0);
    assertThat(slots.take("c", 0, terms, 0)).isGreaterThan(0);
    slots.onEnded("a", false, 0);
    assertThat(slots.take("c", 0, terms, 0)).isEqualTo(0);
  }

  @Test
  void countsRequestsThatItDidNotGrant() {
    slots.onPresent("a", 2);
    assertThat(slots.take("b", 0, terms, 0)).isEqualTo(0);
    assertThat(slots.take("b", 1, terms, 0)).isGreaterThan(0);
  }

  @Test
  void forgetsInstancesThatAreGone() {
    slots.onPresent("a", 3);
    slots.retainInstances(id -> !id.equals("a"));
    assertThat(slots.take("b", 0, terms, 0)).isEqualTo(0);
  }

  /** Grants that may all be rejected must not be more than the endpoint survives. */
  @Test
  void risksFewRejectionsAtATime() {
    FleetSlots.Terms brittle = new FleetSlots.Terms(100, 5);
    assertThat(slots.take("a", 0, brittle, 0)).isEqualTo(0);
    assertThat(slots.take("a", 1, brittle, 0)).isEqualTo(0);
    assertThat(slots.take("a", 2, brittle, 0)).isEqualTo(0);
    assertThat(slots.take("a", 3, brittle, 0)).isGreaterThan(0);
    slots.onEnded("a", false, millis(10));
    assertThat(slots.take("a", 2, brittle, millis(10))).isEqualTo(0);
    assertThat(slots.take("a", 3, brittle, millis(10))).isGreaterThan(0);
    assertThat(slots.take("a", 3, brittle, millis(50))).isEqualTo(0);
  }

  @Test
  void pausesAfterRejections() {
    FleetSlots.Terms brittle = new FleetSlots.Terms(100, 5);
    for (int i = 0; i < 3; i++) {
      slots.onEnded("a", true, millis(i));
    }
    assertThat(slots.take("a", 0, brittle, millis(500))).isGreaterThan(0);
    assertThat(slots.take("a", 0, brittle, millis(1_002))).isEqualTo(0);
  }

  private static long millis(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }
}
