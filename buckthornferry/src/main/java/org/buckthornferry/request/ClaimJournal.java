package org.buckthornferry.request;

import java.io.ByteArrayOutputStream;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.buckthornferry.peer.ClaimCopy;
import org.buckthornferry.store.KeyValueStore;
import org.buckthornferry.store.StoreException;
import org.buckthornferry.store.VersionedValue;
import org.buckthornferry.util.Checks;
import org.buckthornferry.util.MonotonicClock;
import org.jboss.logging.Logger;

/**
 * Writes the claim journal of one owner process with group commits: one compare-and-swap of the
 * current segment commits all pending records. Writes are at least the commit interval apart; a
 * record after an idle period is committed immediately.
 *
 * <p>Segments form a chain: the last commit of a segment closes it, and only then the next segment
 * is created, with expected version 0. A new owner of a shard seals the journal by changing the
 * last segment, or by creating the one after a closed segment. The next commit of this journal then
 * fails with a conflict, reads the seal and rejects the records of the sealed shard. Used on the
 * control thread only.
 */
final class ClaimJournal {
  private static final Logger LOG = Logger.getLogger(ClaimJournal.class);

  /** Fits the largest record: the identity, the ids, a 4 KB response and the numeric fields. */
  private static final int MAX_RECORD_BYTES = 8 << 10;

  /** Commits take precedence over deletions until more than this many are due. */
  private static final int MAX_POSTPONED_DELETIONS = 4;

  private final KeyValueStore store;
  private final MonotonicClock clock;
  private final ProcessIncarnation self;
  private final ClaimSettings settings;
  private final ClaimStoreCalls calls;
  private final SegmentRetention retention;
  private final Predicate<ProcessIncarnation> hasEnded;
  private final String keyPrefix;
  private final ArrayDeque<Entry> pending = new ArrayDeque<>();
  private final Map<Integer, Long> seals = new HashMap<>();
  private ByteArrayOutputStream committedRecords = new ByteArrayOutputStream();
  private int committedCount;
  private long commitNumber;
  private long segmentNumber;
  private long segmentVersion;
  private long segmentOpenedNanos;
  private long lastSequence;
  private long nextWriteNanos;
  private boolean failed;
  private boolean deletionInFlight;
  private CommitAttempt attempt;

  /** Receives the outcome of a record on the control thread. */
  interface Listener {
    /** Called when the record is in the store. */
    void committed();

    /**
     * Called when the record is not and will never be in the store; this process must not serve the
     * shard.
     */
    void rejected();
  }

  /** A record that is pending or part of a commit. */
  final class Entry {
    private final ClaimCopy copy;
    private final byte[] bytes;
    private Listener listener;
    private boolean withdrawn;

    private Entry(ClaimCopy copy, Listener listener) {
      this.copy = copy;
      this.bytes = JournalSegment.encodeRecord(copy);
      this.listener = listener;
    }

    /**
     * Removes the listener and withdraws the record. Returns whether the record definitely never
     * reaches the store; otherwise the caller must append a record that supersedes it.
     */
    boolean withdraw() {
      listener = null;
      withdrawn = true;
      return pending.remove(this);
    }
  }

  /** The next store call of a commit. */
  private enum NextCall {
    SEND,
    READ
  }

  /** A commit whose outcome is not yet known. Every retry writes identical content. */
  private static final class CommitAttempt {
    private final List<Entry> entries;
    private final JournalSegment segment;
    private final String attemptId;
    private NextCall nextCall = NextCall.SEND;
    private boolean ambiguous;
    private long callNumber;
    private boolean callInFlight;
    private long callStartNanos;
    private long nextReadNanos;

    private CommitAttempt(
        List<Entry> entries, JournalSegment segment, String attemptId, long nowNanos) {
      this.nextReadNanos = nowNanos;
      this.entries = entries;
      this.segment = segment;
      this.attemptId = attemptId;
    }
  }

  /**
   * Creates an empty journal.
   *
   * @param self this process
   * @param hasEnded returns whether another process has definitely ended, so that its segments may
   *     be deleted
   */
  ClaimJournal(
      KeyValueStore store,
      MonotonicClock clock,
      ProcessIncarnation self,
      ClaimSettings settings,
      ClaimStoreCalls calls,
      SegmentRetention retention,
      Predicate<ProcessIncarnation> hasEnded) {
    this.store = store;
    this.clock = clock;
    this.self = self;
    this.settings = settings;
    this.calls = calls;
    this.retention = retention;
    this.hasEnded = hasEnded;
    this.keyPrefix = JournalSegment.prefix(self.instanceId(), self.incarnation());
    this.nextWriteNanos = clock.nanoTime();
  }

  /** Returns the sequence number for the next copy of a claim. */
  long nextSequence() {
    return ++lastSequence;
  }

  /** Appends a record, which is committed as soon as the commit interval allows a write. */
  Entry append(ClaimCopy copy, Listener listener, long nowNanos) {
    Entry entry = new Entry(copy, listener);
    Checks.check(entry.bytes.length <= MAX_RECORD_BYTES, "journal record is too large");
    if (failed || isSealed(copy)) {
      reject(entry);
    } else {
      pending.add(entry);
      writeIfDue(nowNanos);
    }
    return entry;
  }

  /** Returns whether an unfinished commit contains a record of one of {@code shards}. */
  boolean isCommitting(Set<Integer> shards) {
    return attempt != null
        && attempt.entries.stream().anyMatch(entry -> shards.contains(entry.copy.shard()));
  }

  void onTick(long nowNanos) {
    if (attempt != null && attempt.callInFlight && hasTimedOut(attempt, nowNanos)) {
      attempt.callNumber++;
      attempt.callInFlight = false;
      markOutcomeUnknown(attempt);
    }
    writeIfDue(nowNanos);
  }

  int pendingCount() {
    return pending.size() + (attempt == null ? 0 : attempt.entries.size());
  }

  long segmentNumber() {
    return segmentNumber;
  }

  private boolean hasTimedOut(CommitAttempt commit, long nowNanos) {
    return nowNanos - commit.callStartNanos
        >= TimeUnit.MILLISECONDS.toNanos(settings.storeTimeoutMillis());
  }

  private void writeIfDue(long nowNanos) {
    if (attempt != null) {
      continueCommit(nowNanos);
      return;
    }
    if (nowNanos - nextWriteNanos < 0) {
      return;
    }
    boolean deletionsOverdue = retention.size() > 0 && hasDeletionBacklog(nowNanos);
    if (!pending.isEmpty() && !deletionsOverdue) {
      startCommit(nowNanos);
    } else if (!deletionInFlight) {
      deleteOne(nowNanos);
    }
  }

  private void continueCommit(long nowNanos) {
    if (attempt.callInFlight) {
      return;
    }
    if (attempt.nextCall == NextCall.READ && nowNanos - attempt.nextReadNanos >= 0) {
      readBack(attempt, nowNanos);
    } else if (attempt.nextCall == NextCall.SEND && nowNanos - nextWriteNanos >= 0) {
      send(attempt, nowNanos);
    }
  }

  private void startCommit(long nowNanos) {
    if (segmentVersion == 0 && committedCount == 0) {
      segmentOpenedNanos = nowNanos;
    }
    List<Entry> entries = new ArrayList<>();
    ByteArrayOutputStream records = new ByteArrayOutputStream();
    records.writeBytes(committedRecords.toByteArray());
    int limitBytes = records.size() + settings.maxCommitBytes();
    while (!pending.isEmpty() && records.size() + pending.peek().bytes.length <= limitBytes) {
      Entry entry = pending.poll();
      entries.add(entry);
      records.writeBytes(entry.bytes);
    }
    boolean closes =
        records.size() >= settings.segmentRollBytes()
            || nowNanos - segmentOpenedNanos
                >= TimeUnit.MILLISECONDS.toNanos(settings.segmentRollMillis());
    JournalSegment segment =
        new JournalSegment(
            closes,
            commitNumber + 1,
            seals,
            committedCount + entries.size(),
            records.toByteArray());
    attempt = new CommitAttempt(entries, segment, attemptId(commitNumber + 1), nowNanos);
    send(attempt, nowNanos);
  }

  private String attemptId(long number) {
    return self.instanceId() + "/" + self.incarnation() + "/" + number;
  }

  private void send(CommitAttempt commit, long nowNanos) {
    nextWriteNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(settings.commitIntervalMillis());
    long call = startCall(commit, nowNanos);
    calls.count(ClaimStoreCalls.Kind.COMMIT);
    StoreCallback.whenDone(
        store.compareAndSwap(key(), segmentVersion, commit.segment.encode(), commit.attemptId),
        (version, failure) -> {
          if (!endCall(commit, call)) {
            return;
          }
          if (failure == null) {
            onCommitted(commit, version);
          } else {
            onCommitFailed(commit, StoreException.kindOf(failure));
          }
          writeIfDue(clock.nanoTime());
        });
  }

  private void onCommitFailed(CommitAttempt commit, StoreException.Kind kind) {
    switch (kind) {
      case UNAVAILABLE, RATE_LIMITED -> {
        if (!commit.ambiguous) {
          requeue(commit);
        }
      }
      case CONFLICT -> commit.nextCall = NextCall.READ;
      case OUTCOME_UNKNOWN -> markOutcomeUnknown(commit);
      default -> failJournal("the store rejected the segment: " + kind);
    }
  }

  private void markOutcomeUnknown(CommitAttempt commit) {
    commit.ambiguous |= commit.nextCall == NextCall.SEND;
    commit.nextCall = NextCall.READ;
  }

  private void readBack(CommitAttempt commit, long nowNanos) {
    commit.nextReadNanos =
        nowNanos + TimeUnit.MILLISECONDS.toNanos(settings.commitIntervalMillis());
    long call = startCall(commit, nowNanos);
    calls.count(ClaimStoreCalls.Kind.READ_BACK);
    StoreCallback.whenDone(
        store.get(key()),
        (value, failure) -> {
          if (!endCall(commit, call)) {
            return;
          }
          if (failure == null) {
            onReadBack(commit, value);
          }
          writeIfDue(clock.nanoTime());
        });
  }

  private void onReadBack(CommitAttempt commit, Optional<VersionedValue> value) {
    if (value.isEmpty()) {
      if (segmentVersion == 0) {
        commit.nextCall = NextCall.SEND;
      } else {
        failJournal("the segment was deleted");
      }
      return;
    }
    JournalSegment stored = JournalSegment.decode(value.get().value());
    stored.seals().forEach((shard, fencing) -> seals.merge(shard, fencing, Math::max));
    rejectSealed();
    if (stored.commitNumber() == commit.segment.commitNumber()) {
      onCommitted(commit, value.get().version());
    } else if (stored.commitNumber() != commitNumber) {
      failJournal("the segment has an unexpected commit number");
    } else if (value.get().version() == segmentVersion) {
      // A delayed write of this commit may still take effect, so the retry must be identical.
      commit.nextCall = NextCall.SEND;
    } else {
      segmentVersion = value.get().version();
      requeue(commit);
    }
  }

  private void onCommitted(CommitAttempt commit, long version) {
    attempt = null;
    commitNumber = commit.segment.commitNumber();
    committedCount = commit.segment.recordCount();
    committedRecords = new ByteArrayOutputStream();
    committedRecords.writeBytes(commit.segment.records());
    segmentVersion = version;
    if (commit.segment.closed()) {
      openNextSegment(version);
    }
    for (Entry entry : commit.entries) {
      Listener listener = entry.listener;
      entry.listener = null;
      if (listener != null) {
        listener.committed();
      }
    }
  }

  private void openNextSegment(long closedVersion) {
    long dueNanos =
        clock.nanoTime() + 2 * TimeUnit.MILLISECONDS.toNanos(settings.claimWindowMillis());
    retention.add(new SegmentRetention.Segment(self, key(), closedVersion, dueNanos));
    segmentNumber++;
    segmentVersion = 0;
    committedRecords = new ByteArrayOutputStream();
    committedCount = 0;
  }

  /**
   * Requeues the records of a commit that definitely did not and will not take effect, except
   * withdrawn ones, and rejects those of sealed shards.
   */
  private void requeue(CommitAttempt commit) {
    attempt = null;
    List<Entry> rejected = new ArrayList<>();
    for (int i = commit.entries.size() - 1; i >= 0; i--) {
      Entry entry = commit.entries.get(i);
      if (isSealed(entry.copy)) {
        rejected.add(entry);
      } else if (!entry.withdrawn) {
        pending.addFirst(entry);
      }
    }
    rejected.forEach(ClaimJournal::reject);
  }

  /** Rejects pending records of sealed shards, because no record may follow the seal. */
  private void rejectSealed() {
    List<Entry> rejected = pending.stream().filter(entry -> isSealed(entry.copy)).toList();
    pending.removeAll(rejected);
    rejected.forEach(ClaimJournal::reject);
  }

  private void failJournal(String reason) {
    LOG.errorf("event=claim_journal_lost key=%s reason=\"%s\"", key(), reason);
    failed = true;
    List<Entry> rejected = new ArrayList<>(pending);
    pending.clear();
    if (attempt != null) {
      rejected.addAll(attempt.entries);
      attempt = null;
    }
    rejected.forEach(ClaimJournal::reject);
  }

  private static void reject(Entry entry) {
    Listener listener = entry.listener;
    entry.listener = null;
    if (listener != null) {
      listener.rejected();
    }
  }

  private boolean isSealed(ClaimCopy copy) {
    return seals.getOrDefault(copy.shard(), 0L) > copy.fencingNumber();
  }

  private String key() {
    return JournalSegment.key(keyPrefix, segmentNumber);
  }

  private static long startCall(CommitAttempt commit, long nowNanos) {
    commit.callInFlight = true;
    commit.callStartNanos = nowNanos;
    return ++commit.callNumber;
  }

  private boolean endCall(CommitAttempt commit, long call) {
    if (attempt != commit || !commit.callInFlight || commit.callNumber != call) {
      return false;
    }
    commit.callInFlight = false;
    return true;
  }

  private boolean hasDeletionBacklog(long nowNanos) {
    return !deletionInFlight && retention.dueCount(nowNanos) > MAX_POSTPONED_DELETIONS;
  }

  private void deleteOne(long nowNanos) {
    SegmentRetention.Segment segment =
        retention.pollDue(nowNanos, writer -> writer.equals(self) || hasEnded.test(writer));
    if (segment == null) {
      return;
    }
    nextWriteNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(settings.commitIntervalMillis());
    deletionInFlight = true;
    calls.count(ClaimStoreCalls.Kind.DELETE);
    StoreCallback.whenDone(
        store.delete(segment.key(), segment.version()),
        (ignored, failure) -> {
          deletionInFlight = false;
          // After a conflict the segment is already deleted or was sealed by a later reader.
          if (failure != null && StoreException.kindOf(failure) != StoreException.Kind.CONFLICT) {
            retention.retry(segment);
          }
        });
  }
}
