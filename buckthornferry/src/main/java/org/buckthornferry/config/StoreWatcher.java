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
 * Reads {@code config/current} once at startup, and watches it while this instance is one of its
 * region's watchers. At most one call is outstanding.
 */
final class StoreWatcher {
  /** Short enough to detect a dead connection within the 5 s limit for applying a change. */
  static final long WATCH_TIMEOUT_MILLIS = 2_000;

  private static final long WATCH_GRACE_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final long GET_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final long MIN_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
  private static final long MAX_BACKOFF_NANOS = TimeUnit.SECONDS.toNanos(2);

  private final KeyValueStore store;
  private final StoreReachability reachability;
  private final RandomGenerator random;
  private final Consumer<Optional<VersionedValue>> listener;

  private long lastVersion;
  private boolean firstReadDone;
  private boolean failing;
  private boolean pending;
  private long currentCallId;
  private long deadlineNanos;
  private long nextCallNanos;
  private long backoffNanos = MIN_BACKOFF_NANOS;
  private long nowNanos;
  private long callCount;

  /**
   * Creates a watcher.
   *
   * @param listener receives the stored value, or empty when the first read finds none
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
    nextCallNanos = startNanos;
  }

  /** Returns whether the last call failed, in which case the store is treated as down. */
  boolean isFailing() {
    return failing;
  }

  long callCount() {
    return callCount;
  }

  /** Times out the outstanding call and sends the next one when due. */
  void tick(long tickNanos, boolean watching) {
    nowNanos = tickNanos;
    if (pending && nowNanos - deadlineNanos >= 0) {
      pending = false;
      currentCallId++;
      reachability.record(false);
      scheduleRetry();
    }
    if (pending || nowNanos - nextCallNanos < 0) {
      return;
    }
    if (!firstReadDone) {
      send(store.get(EncodedRevision.KEY), GET_TIMEOUT_NANOS, true);
    } else if (watching) {
      send(
          store.watch(EncodedRevision.KEY, lastVersion, WATCH_TIMEOUT_MILLIS),
          TimeUnit.MILLISECONDS.toNanos(WATCH_TIMEOUT_MILLIS) + WATCH_GRACE_NANOS,
          false);
    }
  }

  private void send(
      CompletableFuture<Optional<VersionedValue>> outcome,
      long timeoutNanos,
      boolean reportsAbsence) {
    pending = true;
    callCount++;
    deadlineNanos = nowNanos + timeoutNanos;
    long callId = ++currentCallId;
    Completions.onComplete(
        outcome,
        (value, failure) -> {
          if (callId == currentCallId) {
            onCompleted(value, failure, reportsAbsence);
          } else if (failure == null && value.isPresent()) {
            // The call timed out, but its value is still a published revision.
            deliver(value.get());
          }
        });
  }

  private void onCompleted(
      Optional<VersionedValue> value, Throwable failure, boolean reportsAbsence) {
    pending = false;
    if (failure != null) {
      reachability.record(false);
      scheduleRetry();
      return;
    }
    reachability.record(true);
    failing = false;
    firstReadDone = true;
    backoffNanos = MIN_BACKOFF_NANOS;
    nextCallNanos = nowNanos;
    if (value.isPresent()) {
      deliver(value.get());
    } else if (reportsAbsence) {
      listener.accept(value);
    }
  }

  private void deliver(VersionedValue value) {
    lastVersion = Math.max(lastVersion, value.version());
    listener.accept(Optional.of(value));
  }

  private void scheduleRetry() {
    failing = true;
    nextCallNanos = nowNanos + backoffNanos / 2 + random.nextLong(backoffNanos);
    backoffNanos = Math.min(MAX_BACKOFF_NANOS, backoffNanos * 2);
  }
}
