package org.buckthornferry.membership;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import net.jqwik.api.Example;
import org.buckthornferry.membership.MemberTable.Outcome;
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

  /** Guards against delayed and doubled heartbeats that hide the silence of a member. */
  @Example
  void heartbeatWithAnOldSequenceIsNoSignOfLife() {
    table.mergeHeartbeat(row, heartbeat(0, 5), SECOND);
    table.mergeHeartbeat(row, heartbeat(0, 5), 2 * SECOND);
    table.mergeHeartbeat(row, heartbeat(0, 4), 3 * SECOND);
    assertThat(row.lastHeardNanos).isEqualTo(SECOND);
    table.mergeHeartbeat(row, heartbeat(0, 6), 4 * SECOND);
    assertThat(row.lastHeardNanos).isEqualTo(4 * SECOND);
  }

  /** Guards the death of a member against its own heartbeats from before the death. */
  @Example
  void deathEndsOnlyByRefutationOrNewProcess() {
    table.merge(entry(1, 0, MemberState.DEAD), 0);
    table.mergeHeartbeat(row, heartbeat(0, 1), SECOND);
    assertThat(row.state).isEqualTo(MemberState.DEAD);
    assertThat(table.merge(entry(1, 0, MemberState.ALIVE), 0)).isEqualTo(Outcome.UNCHANGED);
    table.mergeHeartbeat(row, heartbeat(1, 2), SECOND);
    assertThat(row.state).isEqualTo(MemberState.ALIVE);
    assertThat(table.merge(entry(1, 0, MemberState.DEAD), 0)).isEqualTo(Outcome.UNCHANGED);
  }

  /** Guards against reports of silence about a member whose heartbeats arrive here. */
  @Example
  void ownEvidenceOverrulesReportsOfSilence() {
    table.mergeHeartbeat(row, heartbeat(0, 1), SECOND);
    assertThat(table.merge(entry(1, 0, MemberState.DEAD), SECOND + 1))
        .isEqualTo(Outcome.CONTRADICTED);
    assertThat(row.state).isEqualTo(MemberState.ALIVE);
    assertThat(table.merge(entry(1, 0, MemberState.DEAD), 2 * SECOND + 1))
        .isEqualTo(Outcome.CHANGED);
  }

  /** Guards the departure of a member against its own refutation. */
  @Example
  void departureLastsForTheWholeProcess() {
    table.merge(entry(1, 0, MemberState.LEAVING), 0);
    table.merge(entry(1, 3, MemberState.ALIVE), 0);
    assertThat(row.state).isEqualTo(MemberState.LEAVING);
    assertThat(row.refutations).isEqualTo(3);
    table.merge(entry(2, 0, MemberState.ALIVE), 0);
    assertThat(row.state).isEqualTo(MemberState.ALIVE);
  }

  /** Guards the memory of the table against peers that name arbitrary members. */
  @Example
  void tableIsBounded() {
    for (int i = 0; i < 2 * MemberTable.MAX_MEMBERS; i++) {
      table.merge(new MemberEntry("m" + i, "m:1", "d", "kol", 1, 0, MemberState.ALIVE, true, 0), 0);
    }
    assertThat(table.rows()).hasSize(MemberTable.MAX_MEMBERS);
  }
}
