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
 * The journal of one owner process. One compare-and-swap of the current segment commits every
 * record that waits. Writes are at least the commit interval apart; a record after a quiet period
 * is committed at once.
 *
 * <p>Segments form a chain: a segment is closed by its last commit, and only then the next one is
 * created, with expected version 0. A new owner of a shard seals the journal by changing the last
 * segment, or by creating the one after a closed segment. The next commit of this journal then
 * conflicts, learns of the seal and refuses the records of the sealed shard. Used on the control
 * thread only.
 */
final class ClaimJournal {
  private static final Logger LOG = Logger.getLogger(ClaimJournal.class);

  /** The largest record: two names, a response of 4 KB and the numbers. */
  private static final int MAX_RECORD_BYTES = 8 << 10;

  /** Deletions wait for a quiet moment until this many are due. */
  private static final int MAX_DELAYED_DELETIONS = 4;

  private final KeyValueStore store;
  private final MonotonicClock clock;
  private final ProcessIncarnation self;
  private final ClaimSettings settings;
  private final ClaimStoreCalls calls;
  private final SegmentRetention retention;
  private final Predicate<ProcessIncarnation> hasEnded;
  private final String prefix;
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
  private boolean lost;
  private boolean deleting;
  private Attempt attempt;

  /** Told about the end of a record on the control thread. */
  interface Listener {
    /** The record is in the store. */
    void committed();

    /** The record is not and will not be in the store; this process may not serve the shard. */
    void refused();
  }

  /** A record on its way to the store. */
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
     * Stops telling the listener. Returns whether the record certainly never reaches the store;
     * otherwise the caller must add a later record that corrects it.
     */
    boolean withdraw() {
      listener = null;
      withdrawn = true;
      return pending.remove(this);
    }
  }

  /** What an attempt does next. */
  private enum Step {
    SEND,
    READ
  }

  /** One commit until it is known to be in the store or not. Repeats have the same content. */
  private static final class Attempt {
    private final List<Entry> entries;
    private final JournalSegment segment;
    private final String attemptId;
    private Step step = Step.SEND;
    private boolean ambiguous;
    private long callNumber;
    private boolean calling;
    private long calledNanos;
    private long nextReadNanos;

    private Attempt(List<Entry> entries, JournalSegment segment, String attemptId, long nowNanos) {
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
   * @param hasEnded tells whether another process has certainly ended, so that its segments may be
   *     deleted
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
    this.prefix = JournalSegment.prefix(self.instanceId(), self.incarnation());
    this.nextWriteNanos = clock.nanoTime();
  }

  /** Returns the sequence for the next copy of a claim. */
  long nextSequence() {
    return ++lastSequence;
  }

  /** Adds a record and commits it when a write is allowed. */
  Entry append(ClaimCopy copy, Listener listener, long nowNanos) {
    Entry entry = new Entry(copy, listener);
    Checks.check(entry.bytes.length <= MAX_RECORD_BYTES, "journal record is too large");
    if (lost || isSealed(copy)) {
      refuse(entry);
    } else {
      pending.add(entry);
      pump(nowNanos);
    }
    return entry;
  }

  /** Returns whether a commit that is not settled carries a record of one of {@code shards}. */
  boolean isCommitting(Set<Integer> shards) {
    return attempt != null
        && attempt.entries.stream().anyMatch(entry -> shards.contains(entry.copy.shard()));
  }

  void onTick(long nowNanos) {
    if (attempt != null && attempt.calling && timedOut(attempt, nowNanos)) {
      attempt.callNumber++;
      attempt.calling = false;
      outcomeUnknown(attempt);
    }
    pump(nowNanos);
  }

  int pendingCount() {
    return pending.size() + (attempt == null ? 0 : attempt.entries.size());
  }

  long segmentNumber() {
    return segmentNumber;
  }

  private boolean timedOut(Attempt current, long nowNanos) {
    return nowNanos - current.calledNanos
        >= TimeUnit.MILLISECONDS.toNanos(settings.storeTimeoutMillis());
  }

  private void pump(long nowNanos) {
    if (attempt != null) {
      continueAttempt(nowNanos);
      return;
    }
    if (nowNanos - nextWriteNanos < 0) {
      return;
    }
    boolean deletionsUrgent = retention.size() > 0 && deletionBacklog(nowNanos);
    if (!pending.isEmpty() && !deletionsUrgent) {
      startAttempt(nowNanos);
    } else if (!deleting) {
      deleteOne(nowNanos);
    }
  }

  private void continueAttempt(long nowNanos) {
    if (attempt.calling) {
      return;
    }
    if (attempt.step == Step.READ && nowNanos - attempt.nextReadNanos >= 0) {
      readBack(attempt, nowNanos);
    } else if (attempt.step == Step.SEND && nowNanos - nextWriteNanos >= 0) {
      send(attempt, nowNanos);
    }
  }

  private void startAttempt(long nowNanos) {
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
    attempt = new Attempt(entries, segment, attemptId(commitNumber + 1), nowNanos);
    send(attempt, nowNanos);
  }

  private String attemptId(long number) {
    return self.instanceId() + "/" + self.incarnation() + "/" + number;
  }

  private void send(Attempt current, long nowNanos) {
    nextWriteNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(settings.commitIntervalMillis());
    long call = startCall(current, nowNanos);
    calls.count(ClaimStoreCalls.Kind.COMMIT);
    StoreCallback.whenDone(
        store.compareAndSwap(key(), segmentVersion, current.segment.encode(), current.attemptId),
        (version, failure) -> {
          if (!endCall(current, call)) {
            return;
          }
          if (failure == null) {
            landed(current, version);
          } else {
            sendFailed(current, StoreException.kindOf(failure));
          }
          pump(clock.nanoTime());
        });
  }

  private void sendFailed(Attempt current, StoreException.Kind kind) {
    switch (kind) {
      case UNAVAILABLE, RATE_LIMITED -> {
        if (!current.ambiguous) {
          dissolve(current);
        }
      }
      case CONFLICT -> current.step = Step.READ;
      case OUTCOME_UNKNOWN -> outcomeUnknown(current);
      default -> loseJournal("the store refused the segment: " + kind);
    }
  }

  private void outcomeUnknown(Attempt current) {
    current.ambiguous |= current.step == Step.SEND;
    current.step = Step.READ;
  }

  private void readBack(Attempt current, long nowNanos) {
    current.nextReadNanos =
        nowNanos + TimeUnit.MILLISECONDS.toNanos(settings.commitIntervalMillis());
    long call = startCall(current, nowNanos);
    calls.count(ClaimStoreCalls.Kind.READ_BACK);
    StoreCallback.whenDone(
        store.get(key()),
        (value, failure) -> {
          if (!endCall(current, call)) {
            return;
          }
          if (failure == null) {
            compare(current, value);
          }
          pump(clock.nanoTime());
        });
  }

  private void compare(Attempt current, Optional<VersionedValue> value) {
    if (value.isEmpty()) {
      if (segmentVersion == 0) {
        current.step = Step.SEND;
      } else {
        loseJournal("the segment was deleted");
      }
      return;
    }
    JournalSegment stored = JournalSegment.decode(value.get().value());
    stored.seals().forEach((shard, fencing) -> seals.merge(shard, fencing, Math::max));
    refuseSealed();
    if (stored.commitNumber() == current.segment.commitNumber()) {
      landed(current, value.get().version());
    } else if (stored.commitNumber() != commitNumber) {
      loseJournal("the segment has an unexpected commit number");
    } else if (value.get().version() == segmentVersion) {
      // An earlier copy of this attempt may still arrive, so the repeat must be identical.
      current.step = Step.SEND;
    } else {
      segmentVersion = value.get().version();
      dissolve(current);
    }
  }

  private void landed(Attempt current, long version) {
    attempt = null;
    commitNumber = current.segment.commitNumber();
    committedCount = current.segment.recordCount();
    committedRecords = new ByteArrayOutputStream();
    committedRecords.writeBytes(current.segment.records());
    segmentVersion = version;
    if (current.segment.closed()) {
      openNextSegment(version);
    }
    for (Entry entry : current.entries) {
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

  /** Takes back a commit that certainly did not and will not happen. */
  private void dissolve(Attempt current) {
    attempt = null;
    List<Entry> refused = new ArrayList<>();
    for (int i = current.entries.size() - 1; i >= 0; i--) {
      Entry entry = current.entries.get(i);
      if (isSealed(entry.copy)) {
        refused.add(entry);
      } else if (!entry.withdrawn) {
        pending.addFirst(entry);
      }
    }
    refused.forEach(ClaimJournal::refuse);
  }

  /** No record may follow the seal of its shard, whichever way the seal became known. */
  private void refuseSealed() {
    List<Entry> refused = pending.stream().filter(entry -> isSealed(entry.copy)).toList();
    pending.removeAll(refused);
    refused.forEach(ClaimJournal::refuse);
  }

  private void loseJournal(String reason) {
    LOG.errorf("event=claim_journal_lost key=%s reason=\"%s\"", key(), reason);
    lost = true;
    List<Entry> refused = new ArrayList<>(pending);
    pending.clear();
    if (attempt != null) {
      refused.addAll(attempt.entries);
      attempt = null;
    }
    refused.forEach(ClaimJournal::refuse);
  }

  private static void refuse(Entry entry) {
    Listener listener = entry.listener;
    entry.listener = null;
    if (listener != null) {
      listener.refused();
    }
  }

  private boolean isSealed(ClaimCopy copy) {
    return seals.getOrDefault(copy.shard(), 0L) > copy.fencingNumber();
  }

  private String key() {
    return JournalSegment.key(prefix, segmentNumber);
  }

  private static long startCall(Attempt current, long nowNanos) {
    current.calling = true;
    current.calledNanos = nowNanos;
    return ++current.callNumber;
  }

  private boolean endCall(Attempt current, long call) {
    if (attempt != current || !current.calling || current.callNumber != call) {
      return false;
    }
    current.calling = false;
    return true;
  }

  private boolean deletionBacklog(long nowNanos) {
    return !deleting && retention.dueCount(nowNanos) > MAX_DELAYED_DELETIONS;
  }

  private void deleteOne(long nowNanos) {
    SegmentRetention.Segment segment =
        retention.pollDue(nowNanos, writer -> writer.equals(self) || hasEnded.test(writer));
    if (segment == null) {
      return;
    }
    nextWriteNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(settings.commitIntervalMillis());
    deleting = true;
    calls.count(ClaimStoreCalls.Kind.DELETE);
    StoreCallback.whenDone(
        store.delete(segment.key(), segment.version()),
        (ignored, failure) -> {
          deleting = false;
          // After a conflict the segment is gone already or belongs to a later reader.
          if (failure != null && StoreException.kindOf(failure) != StoreException.Kind.CONFLICT) {
            retention.retry(segment);
          }
        });
  }
}
