package org.buckthornferry.rollout;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class CusumTestTest {
  /** Guards against a test that becomes insensitive after many good requests. */
  @Property(seed = "1", tries = 100)
  void detectsFaultAfterAnyNumberOfGoodRequests(@ForAll @IntRange(max = 1_000_000) int good) {
    CusumTest test = new CusumTest();
    test.add(0, good, 0.002, 0.052);
    test.add(4, 0, 0.002, 0.052);
    assertThat(test.showsFault()).isTrue();
  }

  /** Guards against a rollback due to isolated failures. */
  @Property(seed = "1", tries = 100)
  void ignoresSingleFailuresFarApart(@ForAll @IntRange(min = 1, max = 200) int failures) {
    CusumTest test = new CusumTest();
    for (int i = 0; i < failures; i++) {
      test.add(1, 100, 0.002, 0.052);
    }
    assertThat(test.showsFault()).isFalse();
  }
}
