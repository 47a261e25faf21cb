package org.buckthornferry.store;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.buckthornferry.store.StoreException.Kind;
import org.buckthornferry.util.MonotonicClock;

/** Reads the changes of the keys under one prefix by watching the store itself. */
public final class StoreChangeSource implements ChangeSource {
  private final SharedStore store;
  private final String prefix;
  private final LongSupplier waitMillis;
  private final MonotonicClock clock;

  /**
   * Creates a source.
   *
   * @param waitMillis supplies the timeout of the next watch, which bounds how long a dead
   *     connection stays unnoticed
   */
  public StoreChangeSource(
      SharedStore store, String prefix, LongSupplier waitMillis, MonotonicClock clock) {
    this.store = store;
    this.prefix = prefix;
    this.waitMillis = waitMillis;
    this.clock = clock;
  }

  @Override
  public CompletableFuture<ObservedChanges> changesAfter(
      StorePosition position, long maxWaitMillis) {
    long sentNanos = clock.nanoTime();
    long wait = Math.min(waitMillis.getAsLong(), maxWaitMillis);
    return store
        .watch(prefix, position.revision(), wait)
        .thenApply(
            changes -> {
              if (changes.position().era() != position.era()) {
                throw new StoreException(
                    Kind.HISTORY_LOST, "the store is in era " + changes.position().era());
              }
              // The response may have been delayed, for example while this process was suspended.
              // An empty response was not sent before the watch had timed out.
              long earliestNanos =
                  changes.changes().isEmpty()
                      ? sentNanos + TimeUnit.MILLISECONDS.toNanos(wait)
                      : sentNanos;
              return new ObservedChanges(changes, Math.min(earliestNanos, clock.nanoTime()));
            });
  }
}
