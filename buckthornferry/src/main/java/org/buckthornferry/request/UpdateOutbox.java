package org.buckthornferry.request;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.buckthornferry.peer.ClaimReply;
import org.buckthornferry.peer.ClaimUpdate;

/**
 * Repeats the updates of this process's claims until the owner acknowledges them. The last update
 * of a token replaces an earlier one. Used on the control thread only.
 */
final class UpdateOutbox {
  private static final int MAX_BACKOFF_SHIFT = 5;

  private final long resendNanos;
  private final long keepNanos;
  private final Consumer<ClaimUpdate> send;
  private final Map<Long, Pending> pendingByToken = new HashMap<>();
  private final ArrayDeque<Pending> rotation = new ArrayDeque<>();

  private static final class Pending {
    private final ClaimUpdate update;
    private final long sinceNanos;
    private int sends;
    private long nextSendNanos;

    private Pending(ClaimUpdate update, long nowNanos) {
      this.update = update;
      this.sinceNanos = nowNanos;
      this.nextSendNanos = nowNanos;
    }
  }

  UpdateOutbox(ClaimSettings settings, Consumer<ClaimUpdate> send) {
    this.resendNanos = TimeUnit.MILLISECONDS.toNanos(settings.resendMillis());
    this.keepNanos = TimeUnit.MILLISECONDS.toNanos(settings.claimWindowMillis());
    this.send = send;
  }

  void add(ClaimUpdate update, long nowNanos) {
    Pending pending = new Pending(update, nowNanos);
    pendingByToken.put(update.claim().tokenNumber(), pending);
    rotation.add(pending);
    sendNow(pending, nowNanos);
  }

  void onReply(ClaimReply reply) {
    Pending pending = pendingByToken.get(reply.tokenNumber());
    if (pending == null) {
      return;
    }
    boolean dispatch = pending.update.kind() == ClaimUpdate.Kind.DISPATCHED;
    if (dispatch || reply.kind() == ClaimReply.Kind.UPDATED) {
      pendingByToken.remove(reply.tokenNumber());
    }
  }

  void onTick(long nowNanos) {
    Iterator<Pending> iterator = rotation.iterator();
    while (iterator.hasNext()) {
      Pending pending = iterator.next();
      long number = pending.update.claim().tokenNumber();
      boolean current = pendingByToken.get(number) == pending;
      if (!current) {
        iterator.remove();
      } else if (nowNanos - pending.sinceNanos >= keepNanos) {
        // The owner forgets the claim at this age too.
        pendingByToken.remove(number);
        iterator.remove();
      } else if (nowNanos - pending.nextSendNanos >= 0) {
        sendNow(pending, nowNanos);
      }
    }
  }

  int size() {
    return pendingByToken.size();
  }

  private void sendNow(Pending pending, long nowNanos) {
    pending.nextSendNanos = nowNanos + (resendNanos << Math.min(pending.sends, MAX_BACKOFF_SHIFT));
    pending.sends++;
    send.accept(pending.update);
  }
}
