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
 * Seals and reads the journal of one former owner. Closed segments do not change, so the journal is
 * listed once and the seal is set by a compare-and-swap of the last segment: its success proves
 * that nothing was added between the list and the seal. Used on the control thread only.
 */
final class JournalReader {
  private static final Logger LOG = Logger.getLogger(JournalReader.class);

  /** Spaces out repeated calls to a store that fails. */
  private static final long RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(125);

  private final KeyValueStore store;
  private final ClaimStoreCalls calls;
  private final ProcessIncarnation writer;
  private final boolean seals;
  private final Map<Integer, Long> fencingByShard;
  private final Consumer<ClaimCopy> copies;
  private final Consumer<VersionedValue> finalSegments;
  private final String prefix;
  private final String attemptId;
  private Step step = Step.LIST;
  private boolean calling;
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
   * Creates a reader that has not called the store.
   *
   * @param seals whether the journal is sealed; the own journal of this process is only read
   * @param fencingByShard the wanted shards with the fencing numbers of the new owner
   * @param copies is given every copy of a wanted shard, possibly more than once
   * @param finalSegments is given every closed segment and the sealed one
   */
  JournalReader(
      KeyValueStore store,
      ClaimStoreCalls calls,
      ProcessIncarnation writer,
      boolean seals,
      Map<Integer, Long> fencingByShard,
      Consumer<ClaimCopy> copies,
      Consumer<VersionedValue> finalSegments,
      long nowNanos) {
    this.store = store;
    this.calls = calls;
    this.writer = writer;
    this.seals = seals;
    this.fencingByShard = Map.copyOf(fencingByShard);
    this.copies = copies;
    this.finalSegments = finalSegments;
    this.prefix = JournalSegment.prefix(writer.instanceId(), writer.incarnation());
    this.attemptId = "seal/" + fencingByShard;
    this.nextCallNanos = nowNanos;
  }

  boolean isDone() {
    return step == Step.DONE;
  }

  /** Makes the next call when none is under way and the wait after a failure is over. */
  void advance(long nowNanos, long timeoutNanos) {
    if (calling && nowNanos - nextCallNanos >= timeoutNanos) {
      // The call is given up; a late seal is harmless and the repeat finds it.
      calling = false;
      callNumber++;
      retryAfterFailure();
    }
    if (calling || isDone() || nowNanos - nextCallNanos < 0) {
      return;
    }
    calling = true;
    nextCallNanos = nowNanos + RETRY_NANOS;
    switch (step) {
      case LIST -> list(nowNanos);
      case SEAL -> seal(nowNanos);
      case READ -> read(nowNanos);
      default -> throw new IllegalStateException("reader is done");
    }
  }

  private void list(long nowNanos) {
    calls.count(ClaimStoreCalls.Kind.RECOVERY_LIST);
    long call = ++callNumber;
    StoreCallback.whenDone(
        store.list(prefix),
        (values, failure) -> {
          if (endCall(call) && failure == null) {
            guarded(() -> listed(values), nowNanos);
          }
        });
  }

  private void listed(List<VersionedValue> values) {
    for (VersionedValue value : values) {
      use(value);
      if (segment.closed()) {
        finalSegments.accept(value);
      }
    }
    afterClosed();
    step = seals ? Step.SEAL : Step.DONE;
  }

  private void use(VersionedValue value) {
    segment = JournalSegment.decode(value.value());
    segmentNumber = JournalSegment.numberOf(prefix, value.key());
    segmentVersion = value.version();
    for (ClaimCopy copy : segment.decodeRecords()) {
      if (fencingByShard.containsKey(copy.shard())) {
        copies.accept(copy);
      }
    }
  }

  /** After a closed segment the seal belongs into the next one, which must not exist yet. */
  private void afterClosed() {
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
            finalSegments.accept(new VersionedValue(key(), version, sealed, attemptId));
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
            guarded(
                () -> {
                  step = Step.SEAL;
                  value.ifPresentOrElse(this::reread, this::restart);
                },
                nowNanos);
          }
        });
  }

  private void reread(VersionedValue value) {
    use(value);
    boolean sealed = segment.hasSeals(fencingByShard);
    if (sealed || segment.closed()) {
      finalSegments.accept(value);
    }
    if (sealed) {
      step = Step.DONE;
      return;
    }
    afterClosed();
  }

  /** The segment is absent: a create can be repeated; a deleted segment needs a new list. */
  private void restart() {
    if (segmentVersion != 0) {
      segment = JournalSegment.empty(0);
      segmentNumber = 0;
      segmentVersion = 0;
      step = Step.LIST;
    }
  }

  private void guarded(Runnable change, long calledNanos) {
    try {
      change.run();
      nextCallNanos = calledNanos;
    } catch (RuntimeException e) {
      // An unreadable journal keeps its shards closed, because claims could be missing.
      LOG.errorf(
          "event=claim_journal_unreadable writer=%s incarnation=%d reason=\"%s\"",
          writer.instanceId(), writer.incarnation(), e.getMessage());
      step = Step.LIST;
    }
  }

  private void retryAfterFailure() {
    if (step == Step.SEAL) {
      step = Step.READ;
    }
  }

  private boolean endCall(long call) {
    if (call != callNumber || !calling) {
      return false;
    }
    calling = false;
    return true;
  }

  private String key() {
    return JournalSegment.key(prefix, segmentNumber);
  }
}
