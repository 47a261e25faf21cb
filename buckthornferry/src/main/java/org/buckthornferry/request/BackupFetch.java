package org.buckthornferry.request;

import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.buckthornferry.peer.ClaimBackup;
import org.buckthornferry.peer.ClaimCopy;
import org.buckthornferry.peer.PeerSender;

/**
 * Fetches the copies of idempotent claims from the potential backups of former owners. Completes
 * when all of them have answered or the wait times out, because a backup may have failed too.
 */
final class BackupFetch {
  private static final long RESEND_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  private final PeerSender sender;
  private final ClaimBackup request;
  private final Map<String, BitSet> receivedByPendingTarget = new HashMap<>();
  private final Consumer<ClaimCopy> copyConsumer;
  private final long deadlineNanos;
  private long nextSendNanos;

  BackupFetch(
      PeerSender sender,
      long requestNumber,
      Set<String> targets,
      Set<Integer> shards,
      Consumer<ClaimCopy> copyConsumer,
      long nowNanos,
      long waitNanos) {
    this.sender = sender;
    this.request =
        new ClaimBackup(
            ClaimBackup.Kind.FETCH, requestNumber, 0, 0, List.copyOf(shards), List.of());
    targets.forEach(target -> receivedByPendingTarget.put(target, new BitSet()));
    this.copyConsumer = copyConsumer;
    this.deadlineNanos = nowNanos + waitNanos;
    this.nextSendNanos = nowNanos;
  }

  boolean isDone(long nowNanos) {
    return receivedByPendingTarget.isEmpty() || nowNanos - deadlineNanos >= 0;
  }

  void onTick(long nowNanos) {
    if (!isDone(nowNanos) && nowNanos - nextSendNanos >= 0) {
      nextSendNanos = nowNanos + RESEND_INTERVAL_NANOS;
      receivedByPendingTarget.keySet().forEach(target -> sender.send(target, request));
    }
  }

  void onContents(String from, ClaimBackup contents) {
    BitSet received = receivedByPendingTarget.get(from);
    boolean valid = contents.partIndex() >= 0 && contents.partIndex() < contents.partCount();
    if (received == null || !valid || contents.requestNumber() != request.requestNumber()) {
      return;
    }
    contents.copies().forEach(copyConsumer);
    received.set(contents.partIndex());
    if (received.cardinality() == contents.partCount()) {
      receivedByPendingTarget.remove(from);
    }
  }
}
