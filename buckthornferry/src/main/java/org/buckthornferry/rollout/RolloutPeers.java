package org.buckthornferry.rollout;

import java.util.List;
import java.util.Optional;
import org.buckthornferry.control.Blackboard;
import org.buckthornferry.membership.Member;
import org.buckthornferry.membership.MembershipView;
import org.buckthornferry.peer.PeerMessage;
import org.buckthornferry.peer.PeerSender;
import org.buckthornferry.peer.RolloutReport;
import org.buckthornferry.peer.RolloutReport.RouteCounters;
import org.buckthornferry.peer.RolloutStateMessage;
import org.buckthornferry.shard.ShardKind;
import org.buckthornferry.shard.ShardMap;
import org.buckthornferry.shard.ShardOwner;

/** Sends rollout messages to the other instances and divides limits between all instances. */
final class RolloutPeers {
  private final Blackboard blackboard;
  private final PeerSender sender;

  RolloutPeers(Blackboard blackboard, PeerSender sender) {
    this.blackboard = blackboard;
    this.sender = sender;
  }

  /** Sends a message to every other member that may be running. */
  void sendToAll(PeerMessage message) {
    MembershipView members = members();
    for (Member member : members.running()) {
      if (!member.instanceId().equals(members.selfId())) {
        sender.send(member.instanceId(), message);
      }
    }
  }

  /** Sends the state of a rollout to every other member. */
  void announce(ServiceRollout rollout) {
    RolloutState state = rollout.state();
    sendToAll(
        new RolloutStateMessage(
            state.serviceId(),
            state.moveId(),
            state.phase().name(),
            state.sequence(),
            state.step(),
            state.stepPassed(),
            state.reason(),
            rollout.fleetMaxRunning()));
  }

  /** Sends the counters of this instance to the leader of a rollout, if there are any. */
  void report(ServiceRollout rollout) {
    List<RouteCounters> readings = rollout.readings();
    Optional<ShardOwner> leader =
        blackboard
            .read(ShardMap.ENTRY)
            .ownerOf(ShardKind.ENDPOINT, RolloutController.leadershipKey(rollout.service().id()));
    if (leader.isPresent() && !readings.isEmpty()) {
      sender.send(
          leader.get().instanceId(),
          new RolloutReport(
              rollout.service().id(), rollout.state().moveId(), selfIncarnation(), readings));
    }
  }

  /** Returns the id of this process as a source of counters and store writes. */
  String selfSourceId() {
    return members().selfId() + "#" + selfIncarnation();
  }

  /** Returns this instance's share of a limit; the first members in id order get the remainder. */
  int localShareOf(int fleetBound) {
    MembershipView members = members();
    int count = 0;
    int rank = 0;
    for (Member member : members.running()) {
      if (member.instanceId().equals(members.selfId())) {
        rank = count;
      }
      count++;
    }
    if (count == 0) {
      return fleetBound;
    }
    int share = fleetBound / count;
    return rank < fleetBound % count ? share + 1 : share;
  }

  private long selfIncarnation() {
    MembershipView members = members();
    Member self = members.members().get(members.selfId());
    return self == null ? 0 : self.incarnation();
  }

  private MembershipView members() {
    return blackboard.read(MembershipView.ENTRY);
  }
}
