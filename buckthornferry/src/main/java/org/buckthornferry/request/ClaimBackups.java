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
 * The copies of idempotent claims that this process holds for other owners, bounded in number and
 * in age. Used on the control thread only.
 */
final class ClaimBackups {
  /** Keeps a message with responses well below the largest frame. */
  private static final int MAX_PART_BYTES = 512 << 10;

  private static final int COPY_BYTES = 512;

  private final long windowNanos;
  private final int maxCopies;
  private final Map<RequestIdentity, Held> copies = new HashMap<>();
  private final ArrayDeque<Held> byAge = new ArrayDeque<>();

  private record Held(RequestIdentity identity, ClaimCopy copy, long receivedNanos) {}

  ClaimBackups(ClaimSettings settings) {
    this.windowNanos = TimeUnit.MILLISECONDS.toNanos(settings.claimWindowMillis());
    this.maxCopies = settings.maxClaims();
  }

  /** Keeps a copy unless a newer one is held. */
  void store(ClaimCopy copy, long nowNanos) {
    RequestIdentity identity = Messages.identityOf(copy.claim());
    Held current = copies.get(identity);
    if (current != null && current.copy.isNewerThan(copy)) {
      return;
    }
    Held held = new Held(identity, copy, nowNanos);
    copies.put(identity, held);
    byAge.add(held);
    while (byAge.size() > 2 * maxCopies || copies.size() > maxCopies) {
      dropOldest();
    }
  }

  void onTick(long nowNanos) {
    while (!byAge.isEmpty() && nowNanos - byAge.peek().receivedNanos >= windowNanos) {
      dropOldest();
    }
  }

  List<ClaimCopy> copiesOf(Set<Integer> shards) {
    List<ClaimCopy> found = new ArrayList<>();
    for (Held held : copies.values()) {
      if (shards.contains(held.copy.shard())) {
        found.add(held.copy);
      }
    }
    return found;
  }

  int size() {
    return copies.size();
  }

  private void dropOldest() {
    Held oldest = byAge.poll();
    copies.remove(oldest.identity, oldest);
  }

  /** Divides copies into lists that each fit into one message; returns at least one list. */
  static List<List<ClaimCopy>> parts(List<ClaimCopy> all) {
    List<List<ClaimCopy>> parts = new ArrayList<>();
    List<ClaimCopy> part = new ArrayList<>();
    int partBytes = 0;
    for (ClaimCopy copy : all) {
      int copyBytes = COPY_BYTES + copy.response().body().length;
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
