package org.buckthornferry.request;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.buckthornferry.peer.ClaimBackup;
import org.buckthornferry.peer.ClaimCopy;

/**
 * Stores the copies of idempotent claims that this process backs up for other owners, limited in
 * number and age. Used on the control thread only.
 */
final class ClaimBackups {
  /** Keeps a message with responses well below the maximum frame size. */
  private static final int MAX_PART_BYTES = 512 << 10;

  /** The estimated encoded size of a copy without its response body. */
  private static final int COPY_OVERHEAD_BYTES = 512;

  private final long claimWindowNanos;
  private final int maxCopies;
  private final Map<RequestIdentity, StoredCopy> copies = new HashMap<>();
  private final ArrayDeque<StoredCopy> byAge = new ArrayDeque<>();

  private record StoredCopy(RequestIdentity identity, ClaimCopy copy, long receivedNanos) {}

  ClaimBackups(ClaimSettings settings) {
    this.claimWindowNanos = TimeUnit.MILLISECONDS.toNanos(settings.claimWindowMillis());
    this.maxCopies = settings.maxClaims();
  }

  /** Stores a copy unless a newer one is already stored. */
  void store(ClaimCopy copy, long nowNanos) {
    RequestIdentity identity = ClaimFieldsConverter.identityOf(copy.claim());
    StoredCopy current = copies.get(identity);
    if (current != null && current.copy.isNewerThan(copy)) {
      return;
    }
    StoredCopy stored = new StoredCopy(identity, copy, nowNanos);
    copies.put(identity, stored);
    byAge.add(stored);
    while (byAge.size() > 2 * maxCopies || copies.size() > maxCopies) {
      dropOldest();
    }
  }

  void onTick(long nowNanos) {
    while (!byAge.isEmpty() && nowNanos - byAge.peek().receivedNanos >= claimWindowNanos) {
      dropOldest();
    }
  }

  List<ClaimCopy> copiesOf(Set<Integer> shards) {
    List<ClaimCopy> found = new ArrayList<>();
    for (StoredCopy stored : copies.values()) {
      if (shards.contains(stored.copy.shard())) {
        found.add(stored.copy);
      }
    }
    return found;
  }

  int size() {
    return copies.size();
  }

  private void dropOldest() {
    StoredCopy oldest = byAge.poll();
    copies.remove(oldest.identity, oldest);
  }

  /** Splits copies into lists that each fit into one message; returns at least one list. */
  static List<List<ClaimCopy>> splitIntoParts(List<ClaimCopy> all) {
    List<List<ClaimCopy>> parts = new ArrayList<>();
    List<ClaimCopy> part = new ArrayList<>();
    int partBytes = 0;
    for (ClaimCopy copy : all) {
      int copyBytes = COPY_OVERHEAD_BYTES + copy.response().body().length;
      if (partBytes + copyBytes > MAX_PART_BYTES || part.size() == ClaimBackup.MAX_COPIES) {
        parts.add(part);
        part = new ArrayList<>();
        partBytes = 0;
      }
      part.add(copy);
      partBytes += copyBytes;
    }
    parts.add(part);
    return parts;
  }
}
