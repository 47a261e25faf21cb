package org.buckthornferry.relay;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class RelayTest {
  @Test
  void callersThatDifferInPatienceHaveNotTriedBefore() {
    assertThat(Relay.waitedMillis(10_000, 10_000)).isEqualTo(0);
    assertThat(Relay.waitedMillis(8_400, 10_000)).isEqualTo(0);
  }

  @Test
  void aCallerWithMuchLessTimeThanOthersHasWaited() {
    assertThat(Relay.waitedMillis(6_000, 10_000)).isEqualTo(3_000);
  }
}
