package org.buckthornferry.endpoint;

import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.buckthornferry.control.Blackboard;
import org.buckthornferry.membership.Member;
import org.buckthornferry.membership.MembershipView;
import org.buckthornferry.peer.PeerMessage;
import org.buckthornferry.peer.PeerSender;

/**
 * Sends notices to every other running member, or to one, and retransmits each a few times, because
 * messages may be lost. Notices are idempotent at the receiver.
 */
final class NoticeRetransmitter {
  private static final List<Long> RETRANSMIT_DELAYS_NANOS =
      List.of(
          TimeUnit.MILLISECONDS.toNanos(100),
          TimeUnit.MILLISECONDS.toNanos(400),
          TimeUnit.MILLISECONDS.toNanos(1_500));

  /** The maximum number of notices that wait for a retransmission; the oldest are dropped. */
  private static final int MAX_PENDING = 4_096;

  private final String selfId;
  private final Blackboard blackboard;
  private final PeerSender sender;
  private final ArrayDeque<Pending> pending = new ArrayDeque<>();

  private record Pending(
      PeerMessage message, String toInstanceId, long sinceNanos, int retransmits) {}

  NoticeRetransmitter(String selfId, Blackboard blackboard, PeerSender sender) {
    this.selfId = selfId;
    this.blackboard = blackboard;
    this.sender = sender;
  }

  /** Sends a notice to every other running member, with retransmissions. */
  void broadcast(PeerMessage message, long nowNanos) {
    send("", message, nowNanos);
  }

  /** Sends a notice to one member, with retransmissions; an empty id means all running members. */
  void send(String toInstanceId, PeerMessage message, long nowNanos) {
    deliver(toInstanceId, message);
    pending.addLast(new Pending(message, toInstanceId, nowNanos, 0));
    if (pending.size() > MAX_PENDING) {
      pending.removeFirst();
    }
  }

  void onTick(long nowNanos) {
    ArrayDeque<Pending> remaining = new ArrayDeque<>();
    for (Iterator<Pending> iterator = pending.iterator(); iterator.hasNext(); ) {
      Pending notice = iterator.next();
      if (nowNanos - notice.sinceNanos < RETRANSMIT_DELAYS_NANOS.get(notice.retransmits)) {
        continue;
      }
      iterator.remove();
      deliver(notice.toInstanceId, notice.message);
      if (notice.retransmits + 1 < RETRANSMIT_DELAYS_NANOS.size()) {
        remaining.addLast(
            new Pending(
                notice.message, notice.toInstanceId, notice.sinceNanos, notice.retransmits + 1));
      }
    }
    pending.addAll(remaining);
  }

  private void deliver(String toInstanceId, PeerMessage message) {
    if (!toInstanceId.isEmpty()) {
      sender.send(toInstanceId, message);
      return;
    }
    for (Member member : blackboard.read(MembershipView.ENTRY).running()) {
      if (!member.instanceId().equals(selfId)) {
        sender.send(member.instanceId(), message);
      }
    }
  }
}
