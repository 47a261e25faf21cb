package org.buckthornferry.relay;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Tests how the time budget of a request tells retries of callers from first attempts. */
final class RelayTest {
  @Test
  void aSlightlySmallerTimeBudgetIsAFirstAttempt() {
    assertThat(Relay.priorWaitMillis(10_000, 10_000)).isEqualTo(0);
    assertThat(Relay.priorWaitMillis(8_400, 10_000)).isEqualTo(0);
  }

  @Test
  void aMuchSmallerTimeBudgetIsARetry() {
    assertThat(Relay.priorWaitMillis(6_000, 10_000)).isEqualTo(3_000);
  }
}
