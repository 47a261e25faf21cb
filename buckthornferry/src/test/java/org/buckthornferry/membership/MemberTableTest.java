package org.buckthornferry.membership;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import net.jqwik.api.Example;
import org.buckthornferry.membership.MemberTable.MergeResult;
import org.buckthornferry.peer.Heartbeat;
import org.buckthornferry.peer.MemberEntry;

class MemberTableTest {
  private static final long SECOND = 1_000_000_000L;

  private final MemberTable table = new MemberTable(SECOND);
  private final MemberRow row = table.add("a", "a:1", "kol-a", "kol", 0);

  private static MemberEntry entry(long incarnation, long refutations, MemberState state) {
    return new MemberEntry("a", "a:1", "kol-a", "kol", incarnation, refutations, state, true, 0);
  }

  private static Heartbeat heartbeat(long refutations, long sequence) {
    return new Heartbeat(
        1, refutations, sequence, false, true, 0, 0, 0, 0, List.of(), List.of(), List.of());
  }

  /** Guards against delayed or duplicated heartbeats that hide that a member is silent. */
  @Example
  void heartbeatWithOldSequenceDoesNotCountAsContact() {
    table.mergeHeartbeat(row, heartbeat(0, 5), SECOND);
    table.mergeHeartbeat(row, heartbeat(0, 5), 2 * SECOND);
    table.mergeHeartbeat(row, heartbeat(0, 4), 3 * SECOND);
    assertThat(row.lastHeardNanos).isEqualTo(SECOND);
    table.mergeHeartbeat(row, heartbeat(0, 6), 4 * SECOND);
    assertThat(row.lastHeardNanos).isEqualTo(4 * SECOND);
  }

  /** Guards against a dead member that its earlier, delayed heartbeats mark as alive. */
  @Example
  void deadMemberRevivesOnlyByRefutationOrNewIncarnation() {
    table.merge(entry(1, 0, MemberState.DEAD), 0);
    table.mergeHeartbeat(row, heartbeat(0, 1), SECOND);
    assertThat(row.state).isEqualTo(MemberState.DEAD);
    assertThat(table.merge(entry(1, 0, MemberState.ALIVE), 0)).isEqualTo(MergeResult.UNCHANGED);
    table.mergeHeartbeat(row, heartbeat(1, 2), SECOND);
    assertThat(row.state).isEqualTo(MemberState.ALIVE);
    assertThat(table.merge(entry(1, 0, MemberState.DEAD), 0)).isEqualTo(MergeResult.UNCHANGED);
  }

  /** Guards against reports that declare a member dead whose heartbeats arrive here. */
  @Example
  void recentHeartbeatsOverrideReportsOfDeath() {
    table.mergeHeartbeat(row, heartbeat(0, 1), SECOND);
    assertThat(table.merge(entry(1, 0, MemberState.DEAD), SECOND + 1))
        .isEqualTo(MergeResult.CONTRADICTED);
    assertThat(row.state).isEqualTo(MemberState.ALIVE);
    assertThat(table.merge(entry(1, 0, MemberState.DEAD), 2 * SECOND + 1))
        .isEqualTo(MergeResult.CHANGED);
  }

  /** Guards against a leaving member that becomes alive by its own refutation. */
  @Example
  void leavingStateLastsForTheIncarnation() {
    table.merge(entry(1, 0, MemberState.LEAVING), 0);
    table.merge(entry(1, 3, MemberState.ALIVE), 0);
    assertThat(row.state).isEqualTo(MemberState.LEAVING);
    assertThat(row.refutations).isEqualTo(3);
    table.merge(entry(2, 0, MemberState.ALIVE), 0);
    assertThat(row.state).isEqualTo(MemberState.ALIVE);
  }

  /** Guards against unbounded memory use when peers name arbitrary members. */
  @Example
  void tableSizeIsBounded() {
    for (int i = 0; i < 2 * MemberTable.MAX_MEMBERS; i++) {
      table.merge(new MemberEntry("m" + i, "m:1", "d", "kol", 1, 0, MemberState.ALIVE, true, 0), 0);
    }
    assertThat(table.rows()).hasSize(MemberTable.MAX_MEMBERS);
  }
}
