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
 * Sends notices to every other running member, or to one, a few times each, because a message may
 * be lost. Receivers treat a repeated notice like the first.
 */
final class NoticeOutbox {
  private static final List<Long> REPEAT_NANOS =
      List.of(
          TimeUnit.MILLISECONDS.toNanos(100),
          TimeUnit.MILLISECONDS.toNanos(400),
          TimeUnit.MILLISECONDS.toNanos(1_500));

  /** The most notices that wait for a repeat; the oldest give way. */
  private static final int MAX_PENDING = 4_096;

  private final String selfId;
  private final Blackboard blackboard;
  private final PeerSender sender;
  private final ArrayDeque<Pending> pending = new ArrayDeque<>();

  private record Pending(PeerMessage message, String toInstanceId, long sinceNanos, int repeats) {}

  NoticeOutbox(String selfId, Blackboard blackboard, PeerSender sender) {
    this.selfId = selfId;
    this.blackboard = blackboard;
    this.sender = sender;
  }

  /** Sends to every other running member and repeats. */
  void broadcast(PeerMessage message, long nowNanos) {
    send("", message, nowNanos);
  }

  /** Sends to one member and repeats; the empty id stands for every running member. */
  void send(String toInstanceId, PeerMessage message, long nowNanos) {
    deliver(toInstanceId, message);
    pending.addLast(new Pending(message, toInstanceId, nowNanos, 0));
    if (pending.size() > MAX_PENDING) {
      pending.removeFirst();
    }
  }

  void onTick(long nowNanos) {
    ArrayDeque<Pending> again = new ArrayDeque<>();
    for (Iterator<Pending> iterator = pending.iterator(); iterator.hasNext(); ) {
      Pending notice = iterator.next();
      if (nowNanos - notice.sinceNanos < REPEAT_NANOS.get(notice.repeats)) {
        continue;
      }
      iterator.remove();
      deliver(notice.toInstanceId, notice.message);
      if (notice.repeats + 1 < REPEAT_NANOS.size()) {
        again.addLast(
            new Pending(
                notice.message, notice.toInstanceId, notice.sinceNanos, notice.repeats + 1));
      }
    }
    pending.addAll(again);
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
