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
 * Resends claim updates with exponential backoff until the owner acknowledges them. A newer update
 * of a token replaces the earlier one. Used on the control thread only.
 */
final class UpdateOutbox {
  private static final int MAX_BACKOFF_SHIFT = 5;

  private final long resendNanos;
  private final long retentionNanos;
  private final Consumer<ClaimUpdate> send;
  private final Map<Long, PendingUpdate> pendingByToken = new HashMap<>();
  private final ArrayDeque<PendingUpdate> resendQueue = new ArrayDeque<>();

  private static final class PendingUpdate {
    private final ClaimUpdate update;
    private final long addedNanos;
    private int sendCount;
    private long nextSendNanos;

    private PendingUpdate(ClaimUpdate update, long nowNanos) {
      this.update = update;
      this.addedNanos = nowNanos;
      this.nextSendNanos = nowNanos;
    }
  }

  UpdateOutbox(ClaimSettings settings, Consumer<ClaimUpdate> send) {
    this.resendNanos = TimeUnit.MILLISECONDS.toNanos(settings.resendMillis());
    this.retentionNanos = TimeUnit.MILLISECONDS.toNanos(settings.claimWindowMillis());
    this.send = send;
  }

  void add(ClaimUpdate update, long nowNanos) {
    PendingUpdate pending = new PendingUpdate(update, nowNanos);
    pendingByToken.put(update.claim().tokenNumber(), pending);
    resendQueue.add(pending);
    sendNow(pending, nowNanos);
  }

  void onReply(ClaimReply reply) {
    PendingUpdate pending = pendingByToken.get(reply.tokenNumber());
    if (pending == null) {
      return;
    }
    boolean dispatch = pending.update.kind() == ClaimUpdate.Kind.DISPATCHED;
    if (dispatch || reply.kind() == ClaimReply.Kind.UPDATED) {
      pendingByToken.remove(reply.tokenNumber());
    }
  }

  void onTick(long nowNanos) {
    Iterator<PendingUpdate> iterator = resendQueue.iterator();
    while (iterator.hasNext()) {
      PendingUpdate pending = iterator.next();
      long number = pending.update.claim().tokenNumber();
      boolean current = pendingByToken.get(number) == pending;
      if (!current) {
        iterator.remove();
      } else if (nowNanos - pending.addedNanos >= retentionNanos) {
        // At this age the owner expires the claim too.
        pendingByToken.remove(number);
        iterator.remove();
      } else if (nowNanos - pending.nextSendNanos >= 0) {
        sendNow(pending, nowNanos);
      }
    }
  }

  boolean contains(long tokenNumber) {
    return pendingByToken.containsKey(tokenNumber);
  }

  int size() {
    return pendingByToken.size();
  }

  private void sendNow(PendingUpdate pending, long nowNanos) {
    pending.nextSendNanos =
        nowNanos + (resendNanos << Math.min(pending.sendCount, MAX_BACKOFF_SHIFT));
    pending.sendCount++;
    send.accept(pending.update);
  }
}
