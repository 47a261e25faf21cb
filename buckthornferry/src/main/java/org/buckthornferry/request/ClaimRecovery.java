package org.buckthornferry.request;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;
import org.buckthornferry.membership.MembershipView;
import org.buckthornferry.peer.ClaimBackup;
import org.buckthornferry.peer.ClaimCopy;
import org.buckthornferry.peer.PeerSender;
import org.buckthornferry.store.KeyValueStore;

/**
 * Recovers the claims of a batch of shards that this process has taken over: seals and reads the
 * journal of every former owner and fetches the copies of idempotent claims. These shards are not
 * served until the recovery is done. Used on the control thread only.
 */
final class ClaimRecovery {
  /**
   * The number of top-ranked backups queried for each former owner; more than one, because the
   * owner's membership view may have differed.
   */
  private static final int BACKUPS_QUERIED_PER_OWNER = 2;

  private final Map<Integer, Long> fencingByShard;
  private final List<JournalReader> readers = new ArrayList<>();
  private final BackupFetch fetch;
  private final Map<RequestIdentity, ClaimCopy> newest = new HashMap<>();
  private final long storeTimeoutNanos;
  private final long startedNanos;

  /** The dependencies shared by all recoveries of one process. */
  record Dependencies(
      KeyValueStore store,
      PeerSender sender,
      ProcessIncarnation self,
      ClaimSettings settings,
      ClaimStoreCalls calls,
      SegmentRetention retention) {}

  /**
   * Starts a recovery.
   *
   * @param fencingByShard the shards to recover, with the fencing numbers of this process
   * @param writersOf returns the processes whose journals may hold claims of a shard
   */
  ClaimRecovery(
      Dependencies dependencies,
      Map<Integer, Long> fencingByShard,
      IntFunction<Set<ProcessIncarnation>> writersOf,
      MembershipView view,
      long requestNumber,
      long nowNanos) {
    this.fencingByShard = new TreeMap<>(fencingByShard);
    this.storeTimeoutNanos =
        TimeUnit.MILLISECONDS.toNanos(dependencies.settings.storeTimeoutMillis());
    this.startedNanos = nowNanos;
    Map<ProcessIncarnation, Map<Integer, Long>> shardsByWriter = new LinkedHashMap<>();
    Set<String> targets = new TreeSet<>();
    for (Map.Entry<Integer, Long> shard : this.fencingByShard.entrySet()) {
      for (ProcessIncarnation former : writersOf.apply(shard.getKey())) {
        shardsByWriter
            .computeIfAbsent(former, writer -> new TreeMap<>())
            .put(shard.getKey(), shard.getValue());
        addTargets(targets, shard.getKey(), former, view);
      }
    }
    targets.remove(dependencies.self.instanceId());
    shardsByWriter.forEach(
        (writer, shards) -> readers.add(reader(dependencies, writer, shards, nowNanos)));
    this.fetch =
        new BackupFetch(
            dependencies.sender,
            requestNumber,
            targets,
            this.fencingByShard.keySet(),
            this::merge,
            nowNanos,
            TimeUnit.MILLISECONDS.toNanos(dependencies.settings.backupWaitMillis()));
  }

  private JournalReader reader(
      Dependencies dependencies,
      ProcessIncarnation writer,
      Map<Integer, Long> shards,
      long nowNanos) {
    boolean own = writer.equals(dependencies.self);
    long dueNanos =
        nowNanos + 2 * TimeUnit.MILLISECONDS.toNanos(dependencies.settings.claimWindowMillis());
    return new JournalReader(
        dependencies.store,
        dependencies.calls,
        writer,
        !own,
        shards,
        this::merge,
        segment -> {
          if (!own) {
            dependencies.retention.add(
                new SegmentRetention.Segment(writer, segment.key(), segment.version(), dueNanos));
          }
        },
        nowNanos);
  }

  private static void addTargets(
      Set<String> targets, int shard, ProcessIncarnation former, MembershipView view) {
    List<String> ranked = BackupPlacement.rank(shard, former.instanceId(), view);
    targets.addAll(ranked.subList(0, Math.min(BACKUPS_QUERIED_PER_OWNER, ranked.size())));
    if (view.running().stream().anyMatch(m -> m.instanceId().equals(former.instanceId()))) {
      targets.add(former.instanceId());
    }
  }

  Map<Integer, Long> fencingByShard() {
    return fencingByShard;
  }

  void onTick(long nowNanos) {
    fetch.onTick(nowNanos);
    readers.forEach(reader -> reader.advance(nowNanos, storeTimeoutNanos));
  }

  void onContents(String from, ClaimBackup contents) {
    fetch.onContents(from, contents);
  }

  boolean isDone(long nowNanos) {
    return fetch.isDone(nowNanos) && readers.stream().allMatch(JournalReader::isDone);
  }

  long elapsedMillis(long nowNanos) {
    return TimeUnit.NANOSECONDS.toMillis(nowNanos - startedNanos);
  }

  /** Returns the newest copy of every claim. */
  Collection<ClaimCopy> copies() {
    return newest.values();
  }

  /** Merges a recovered copy of a claim; the newest copy wins. */
  void merge(ClaimCopy copy) {
    if (fencingByShard.containsKey(copy.shard())) {
      newest.merge(
          ClaimFieldsConverter.identityOf(copy.claim()),
          copy,
          (known, added) -> added.isNewerThan(known) ? added : known);
    }
  }
}
