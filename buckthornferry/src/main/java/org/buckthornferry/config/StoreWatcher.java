package org.buckthornferry.config;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.buckthornferry.membership.StoreReachability;
import org.buckthornferry.store.KeyValueStore;
import org.buckthornferry.store.VersionedValue;
import org.buckthornferry.util.Completions;

/**
 * Reads {@code config/current}: once at the start of the process, and by watches while this
 * instance is one of its region's watchers. One call is outstanding at a time.
 */
final class StoreWatcher {
  /** Short, so that a watch on a dead connection is noticed within the 5 s of a change. */
  static final long WATCH_MILLIS = 2_000;

  private static final long GRACE_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final long GET_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final long MIN_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
  private static final long MAX_BACKOFF_NANOS = TimeUnit.SECONDS.toNanos(2);

  private final KeyValueStore store;
  private final StoreReachability reachability;
  private final RandomGenerator random;
  private final Consumer<Optional<VersionedValue>> listener;

  private long lastVersion;
  private boolean answered;
  private boolean failing;
  private boolean pending;
  private long call;
  private long deadlineNanos;
  private long nextNanos;
  private long backoffNanos = MIN_BACKOFF_NANOS;
  private long nowNanos;
  private long calls;

  /**
   * Creates a watcher.
   *
   * @param listener receives the stored value, or empty when there is none
   */
  StoreWatcher(
      KeyValueStore store,
      StoreReachability reachability,
      RandomGenerator random,
      Consumer<Optional<VersionedValue>> listener) {
    this.store = store;
    this.reachability = reachability;
    this.random = random;
    this.listener = listener;
  }

  void start(long startNanos) {
    nextNanos = startNanos;
  }

  /** Returns whether the last call failed, so that the store counts as down. */
  boolean isFailing() {
    return failing;
  }

  long calls() {
    return calls;
  }

  /** Makes the next call when one is due. */
  void tick(long tickNanos, boolean watcher) {
    nowNanos = tickNanos;
    if (pending && nowNanos - deadlineNanos >= 0) {
      pending = false;
      call++;
      reachability.record(false);
      failed();
    }
    if (pending || nowNanos - nextNanos < 0) {
      return;
    }
    if (!answered) {
      send(store.get(EncodedRevision.KEY), GET_TIMEOUT_NANOS, true);
    } else if (watcher) {
      send(
          store.watch(EncodedRevision.KEY, lastVersion, WATCH_MILLIS),
          TimeUnit.MILLISECONDS.toNanos(WATCH_MILLIS) + GRACE_NANOS,
          false);
    }
  }

  private void send(
      CompletableFuture<Optional<VersionedValue>> outcome,
      long timeoutNanos,
      boolean reportsAbsence) {
    pending = true;
    calls++;
    deadlineNanos = nowNanos + timeoutNanos;
    long sentCall = ++call;
    Completions.onComplete(
        outcome,
        (value, failure) -> {
          if (sentCall == call) {
            completed(value, failure, reportsAbsence);
          } else if (failure == null && value.isPresent()) {
            // A late value is still a revision that was published.
            accept(value.get());
          }
        });
  }

  private void completed(
      Optional<VersionedValue> value, Throwable failure, boolean reportsAbsence) {
    pending = false;
    if (failure != null) {
      reachability.record(false);
      failed();
      return;
    }
    reachability.record(true);
    failing = false;
    answered = true;
    backoffNanos = MIN_BACKOFF_NANOS;
    nextNanos = nowNanos;
    if (value.isPresent()) {
      accept(value.get());
    } else if (reportsAbsence) {
      listener.accept(value);
    }
  }

  private void accept(VersionedValue value) {
    lastVersion = Math.max(lastVersion, value.version());
    listener.accept(Optional.of(value));
  }

  private void failed() {
    failing = true;
    nextNanos = nowNanos + backoffNanos / 2 + random.nextLong(backoffNanos);
    backoffNanos = Math.min(MAX_BACKOFF_NANOS, backoffNanos * 2);
  }
}
