package org.buckthornferry.request;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayDeque;
import java.util.EnumSet;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class ClaimStateTest {
  /** Guards against transitions by which a non-idempotent request that ran is claimed again. */
  @Example
  void nonIdempotentClaimIsClaimedAgainOnlyAfterRelease() {
    assertThat(ClaimState.ANSWERED.allows(ClaimState.CLAIMED, false)).isFalse();
    assertThat(ClaimState.UNKNOWN.allows(ClaimState.CLAIMED, false)).isFalse();
    assertThat(reachable(ClaimState.ANSWERED)).isEmpty();
    assertThat(ClaimState.UNKNOWN.allows(ClaimState.CLAIMED, true)).isTrue();
  }

  /** Guards against a code of another state, which would misread journals of older processes. */
  @Property(seed = "10")
  void codesRoundTrip(@ForAll ClaimState state) {
    assertThat(ClaimState.ofCode(state.code())).isEqualTo(state);
  }

  private static Set<ClaimState> reachable(ClaimState from) {
    Set<ClaimState> found = EnumSet.noneOf(ClaimState.class);
    ArrayDeque<ClaimState> open = new ArrayDeque<>(Set.of(from));
    while (!open.isEmpty()) {
      ClaimState state = open.poll();
      for (ClaimState next : ClaimState.values()) {
        if (state.allows(next, false) && found.add(next)) {
          open.add(next);
        }
      }
    }
    return found;
  }
}
