package org.buckthornferry.shard;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.Range;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.buckthornferry.membership.Member;
import org.buckthornferry.membership.MemberState;

class ShardPlacementTest {
  private static List<Member> members(int domains, int perDomain) {
    List<Member> members = new ArrayList<>();
    for (int i = 0; i < domains * perDomain; i++) {
      members.add(
          new Member(
              "i" + i, "127.0.0.1:1", "d" + i % domains, "r", 1, 0, MemberState.ALIVE, true, 0));
    }
    return members;
  }

  /** Guards against lease renewals and journals whose number grows with the number of instances. */
  @Property(seed = "1", tries = 50)
  void ownersAreBoundedByFailureDomains(
      @ForAll @IntRange(min = 1, max = 21) int domains,
      @ForAll @IntRange(min = 1, max = 80) int perDomain) {
    List<Member> members = members(domains, perDomain);
    assertThat(ShardPlacement.candidates(ShardKind.ENDPOINT, members))
        .hasSize(domains * Math.min(8, perDomain));
    List<Member> journalling = ShardPlacement.candidates(ShardKind.CLAIM, members);
    int most = Math.max(8, domains);
    assertThat(journalling).hasSize(Math.min(most, domains * Math.min(8, perDomain)));
    Set<String> covered = new HashSet<>();
    journalling.forEach(member -> covered.add(member.failureDomain()));
    assertThat(covered).hasSize(domains);
  }

  /** Guards against the death of one instance moving shards between the remaining ones. */
  @Example
  void onlyShardsOfTheRemovedOwnerMove() {
    ShardPlacement placement = new ShardPlacement(1_024);
    List<Member> all = members(3, 3);
    List<Member> fewer = all.subList(0, 8);
    Map<Integer, String> before = placement.place(ShardKind.ENDPOINT, all, (s, d) -> 1.0);
    Map<Integer, String> after = placement.place(ShardKind.ENDPOINT, fewer, (s, d) -> 1.0);
    before.forEach(
        (shard, owner) -> {
          if (!owner.equals("i8")) {
            assertThat(after.get(shard)).isEqualTo(owner);
          }
        });
  }

  /** Guards against owners outside their endpoints' failure domain and against uneven load. */
  @Example
  void shardsAreSpreadAndPreferTheDomainOfTheirEndpoints() {
    ShardPlacement placement = new ShardPlacement(1_024);
    Map<Integer, String> even = placement.place(ShardKind.CLAIM, members(4, 2), (s, d) -> 1.0);
    Map<String, Integer> counts = new HashMap<>();
    even.values().forEach(owner -> counts.merge(owner, 1, Integer::sum));
    counts.values().forEach(count -> assertThat(count).isIn(Range.closed(90, 170)));
    Map<Integer, String> home =
        placement.place(ShardKind.ENDPOINT, members(4, 2), (s, d) -> d.equals("d1") ? 4.0 : 1.0);
    long atHome = home.values().stream().filter(o -> o.equals("i1") || o.equals("i5")).count();
    assertThat(atHome).isGreaterThan(1_024 / 2);
  }

  /** Guards against records that drop former owners, whose journals would then not be read. */
  @Example
  void recordsKeepFormerOwnersWithinTheWindow() {
    ShardRecord first = new ShardRecord("a", 1, 7, 1, List.of());
    ShardRecord second = first.acquiredBy("b", 2, 8, 1_000, 500);
    ShardRecord third = second.acquiredBy("c", 3, 9, 1_400, 500);
    assertThat(ShardRecord.decode(third.encode())).isEqualTo(third);
    assertThat(third.formerOwners())
        .containsExactly(
            new ShardRecord.FormerOwner("b", 2, 1_400), new ShardRecord.FormerOwner("a", 1, 1_000))
        .inOrder();
    assertThat(third.acquiredBy("d", 4, 10, 1_600, 500).formerOwners()).hasSize(2);
    assertThat(third.fencingNumber()).isEqualTo(3);
  }
}
