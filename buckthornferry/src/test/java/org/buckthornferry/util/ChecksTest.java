package org.buckthornferry.util;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Positive;

class ChecksTest {
  /** Guards against a check that rejects valid settings. */
  @Property(seed = "1")
  void positiveReturnsEveryPositiveValue(@ForAll @Positive long value) {
    assertThat(Checks.positive(value, "value")).isEqualTo(value);
  }

  /** Guards against an error message that does not name the invalid argument. */
  @Property(seed = "1", tries = 10)
  void positiveNamesTheArgument(@ForAll("notPositive") long value) {
    IllegalArgumentException error =
        assertThrows(IllegalArgumentException.class, () -> Checks.positive(value, "timeoutMillis"));
    assertThat(error).hasMessageThat().contains("timeoutMillis");
  }

  @net.jqwik.api.Provide
  net.jqwik.api.Arbitrary<Long> notPositive() {
    return net.jqwik.api.Arbitraries.longs().lessOrEqual(0);
  }
}
