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
 * Collects the copies of idempotent claims from the possible backups of former owners. Ends when
 * all have answered or the wait is over, because a backup may have died too.
 */
final class BackupFetch {
  private static final long RESEND_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  private final PeerSender sender;
  private final ClaimBackup request;
  private final Map<String, BitSet> missingByTarget = new HashMap<>();
  private final Consumer<ClaimCopy> copies;
  private final long endNanos;
  private long nextSendNanos;

  BackupFetch(
      PeerSender sender,
      long requestNumber,
      Set<String> targets,
      Set<Integer> shards,
      Consumer<ClaimCopy> copies,
      long nowNanos,
      long waitNanos) {
    this.sender = sender;
    this.request =
        new ClaimBackup(
            ClaimBackup.Kind.FETCH, requestNumber, 0, 0, List.copyOf(shards), List.of());
    targets.forEach(target -> missingByTarget.put(target, new BitSet()));
    this.copies = copies;
    this.endNanos = nowNanos + waitNanos;
    this.nextSendNanos = nowNanos;
  }

  boolean isDone(long nowNanos) {
    return missingByTarget.isEmpty() || nowNanos - endNanos >= 0;
  }

  void onTick(long nowNanos) {
    if (!isDone(nowNanos) && nowNanos - nextSendNanos >= 0) {
      nextSendNanos = nowNanos + RESEND_NANOS;
      missingByTarget.keySet().forEach(target -> sender.send(target, request));
    }
  }

  void onContents(String from, ClaimBackup contents) {
    BitSet received = missingByTarget.get(from);
    boolean valid = contents.partIndex() >= 0 && contents.partIndex() < contents.partCount();
    if (received == null || !valid || contents.requestNumber() != request.requestNumber()) {
      return;
    }
    contents.copies().forEach(copies);
    received.set(contents.partIndex());
    if (received.cardinality() == contents.partCount()) {
      missingByTarget.remove(from);
    }
  }
}
