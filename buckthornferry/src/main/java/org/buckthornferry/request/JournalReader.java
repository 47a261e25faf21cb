package org.buckthornferry.request;

import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.buckthornferry.peer.ClaimCopy;
import org.buckthornferry.store.KeyValueStore;
import org.buckthornferry.store.StoreException;
import org.buckthornferry.store.VersionedValue;
import org.jboss.logging.Logger;

/**
 * Reads and seals the journal of one former owner. Closed segments never change, so the journal is
 * listed once and sealed by a compare-and-swap of the last segment, which succeeds only if nothing
 * was added after the listing. Used on the control thread only.
 */
final class JournalReader {
  private static final Logger LOG = Logger.getLogger(JournalReader.class);

  /** The minimum interval between calls to a failing store. */
  private static final long RETRY_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(125);

  private final KeyValueStore store;
  private final ClaimStoreCalls calls;
  private final ProcessIncarnation writer;
  private final boolean sealsJournal;
  private final Map<Integer, Long> fencingByShard;
  private final Consumer<ClaimCopy> copyConsumer;
  private final Consumer<VersionedValue> finalSegmentConsumer;
  private final String keyPrefix;
  private final String attemptId;
  private Step step = Step.LIST;
  private boolean callInFlight;
  private long callNumber;
  private long nextCallNanos;
  private long segmentNumber;
  private long segmentVersion;
  private JournalSegment segment = JournalSegment.empty(0);

  private enum Step {
    LIST,
    SEAL,
    READ,
    DONE
  }

  /**
   * Creates a reader; the first call of {@link #advance} starts it.
   *
   * @param sealsJournal whether to seal the journal; this process only reads its own journal
   * @param fencingByShard the requested shards with the fencing numbers of the new owner
   * @param copyConsumer receives every copy of a requested shard, possibly more than once
   * @param finalSegmentConsumer receives every closed segment and the sealed one
   */
  JournalReader(
      KeyValueStore store,
      ClaimStoreCalls calls,
      ProcessIncarnation writer,
      boolean sealsJournal,
      Map<Integer, Long> fencingByShard,
      Consumer<ClaimCopy> copyConsumer,
      Consumer<VersionedValue> finalSegmentConsumer,
      long nowNanos) {
    this.store = store;
    this.calls = calls;
    this.writer = writer;
    this.sealsJournal = sealsJournal;
    this.fencingByShard = Map.copyOf(fencingByShard);
    this.copyConsumer = copyConsumer;
    this.finalSegmentConsumer = finalSegmentConsumer;
    this.keyPrefix = JournalSegment.prefix(writer.instanceId(), writer.incarnation());
    this.attemptId = "seal/" + fencingByShard;
    this.nextCallNanos = nowNanos;
  }

  boolean isDone() {
    return step == Step.DONE;
  }

  /** Makes the next store call unless one is in flight or the retry interval has not passed. */
  void advance(long nowNanos, long timeoutNanos) {
    if (callInFlight && nowNanos - nextCallNanos >= timeoutNanos) {
      // A seal that takes effect after the timeout is harmless: the retry finds it.
      callInFlight = false;
      callNumber++;
      readBackAfterTimeout();
    }
    if (callInFlight || isDone() || nowNanos - nextCallNanos < 0) {
      return;
    }
    callInFlight = true;
    nextCallNanos = nowNanos + RETRY_INTERVAL_NANOS;
    switch (step) {
      case LIST -> list(nowNanos);
      case SEAL -> seal(nowNanos);
      case READ -> read(nowNanos);
      default -> throw new IllegalStateException("the journal has been read already");
    }
  }

  private void list(long nowNanos) {
    calls.count(ClaimStoreCalls.Kind.RECOVERY_LIST);
    long call = ++callNumber;
    StoreCallback.whenDone(
        store.list(keyPrefix),
        (values, failure) -> {
          if (endCall(call) && failure == null) {
            runOrRelist(() -> onListed(values), nowNanos);
          }
        });
  }

  private void onListed(List<VersionedValue> values) {
    for (VersionedValue value : values) {
      readRecords(value);
      if (segment.closed()) {
        finalSegmentConsumer.accept(value);
      }
    }
    advancePastClosed();
    step = sealsJournal ? Step.SEAL : Step.DONE;
  }

  private void readRecords(VersionedValue value) {
    segment = JournalSegment.decode(value.value());
    segmentNumber = JournalSegment.numberOf(keyPrefix, value.key());
    segmentVersion = value.version();
    for (ClaimCopy copy : segment.decodeRecords()) {
      if (fencingByShard.containsKey(copy.shard())) {
        copyConsumer.accept(copy);
      }
    }
  }

  /** Moves on from a closed segment: the seal creates the next one, which must not exist yet. */
  private void advancePastClosed() {
    if (segment.closed()) {
      segmentNumber++;
      segmentVersion = 0;
      segment = JournalSegment.empty(segment.commitNumber());
    }
  }

  private void seal(long nowNanos) {
    calls.count(ClaimStoreCalls.Kind.SEAL);
    long call = ++callNumber;
    byte[] sealed = segment.withSeals(fencingByShard).encode();
    StoreCallback.whenDone(
        store.compareAndSwap(key(), segmentVersion, sealed, attemptId),
        (version, failure) -> {
          if (!endCall(call)) {
            return;
          }
          if (failure == null) {
            step = Step.DONE;
            finalSegmentConsumer.accept(new VersionedValue(key(), version, sealed, attemptId));
          } else if (mustReadBack(StoreException.kindOf(failure))) {
            step = Step.READ;
            nextCallNanos = nowNanos;
          }
        });
  }

  private static boolean mustReadBack(StoreException.Kind kind) {
    return kind == StoreException.Kind.CONFLICT || kind == StoreException.Kind.OUTCOME_UNKNOWN;
  }

  private void read(long nowNanos) {
    calls.count(ClaimStoreCalls.Kind.RECOVERY_READ);
    long call = ++callNumber;
    StoreCallback.whenDone(
        store.get(key()),
        (value, failure) -> {
          if (endCall(call) && failure == null) {
            runOrRelist(
                () -> {
                  step = Step.SEAL;
                  value.ifPresentOrElse(this::onReadBack, this::relistIfDeleted);
                },
                nowNanos);
          }
        });
  }

  private void onReadBack(VersionedValue value) {
    readRecords(value);
    boolean sealed = segment.hasSeals(fencingByShard);
    if (sealed || segment.closed()) {
      finalSegmentConsumer.accept(value);
    }
    if (sealed) {
      step = Step.DONE;
      return;
    }
    advancePastClosed();
  }

  /** Lists again if the absent segment was deleted; one that never existed can still be created. */
  private void relistIfDeleted() {
    if (segmentVersion != 0) {
      segment = JournalSegment.empty(0);
      segmentNumber = 0;
      segmentVersion = 0;
      step = Step.LIST;
    }
  }

  private void runOrRelist(Runnable change, long calledNanos) {
    try {
      change.run();
      nextCallNanos = calledNanos;
    } catch (RuntimeException e) {
      // Shards with an unreadable journal are not served, because claims could be missing.
      LOG.errorf(
          "event=claim_journal_unreadable writer=%s incarnation=%d reason=\"%s\"",
          writer.instanceId(), writer.incarnation(), e.getMessage());
      step = Step.LIST;
    }
  }

  private void readBackAfterTimeout() {
    if (step == Step.SEAL) {
      step = Step.READ;
    }
  }

  private boolean endCall(long call) {
    if (call != callNumber || !callInFlight) {
      return false;
    }
    callInFlight = false;
    return true;
  }

  private String key() {
    return JournalSegment.key(keyPrefix, segmentNumber);
  }
}
