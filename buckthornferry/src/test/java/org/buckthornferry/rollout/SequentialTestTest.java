package org.buckthornferry.rollout;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class SequentialTestTest {
  /** Guards against a test that good requests of the past make insensitive. */
  @Property(seed = "1", tries = 100)
  void findsAFaultAfterAnyNumberOfGoodRequests(@ForAll @IntRange(max = 1_000_000) int good) {
    SequentialTest test = new SequentialTest();
    test.add(0, good, 0.002, 0.052);
    test.add(4, 0, 0.002, 0.052);
    assertThat(test.showsFault()).isTrue();
  }

  /** Guards against a rollback because of single failures. */
  @Property(seed = "1", tries = 100)
  void singleFailuresFarApartShowNoFault(@ForAll @IntRange(min = 1, max = 200) int failures) {
    SequentialTest test = new SequentialTest();
    for (int i = 0; i < failures; i++) {
      test.add(1, 100, 0.002, 0.052);
    }
    assertThat(test.showsFault()).isFalse();
  }
}
