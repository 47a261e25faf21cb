package org.buckthornferry.store;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.buckthornferry.util.MonotonicClock;

/** Changes of the keys under one prefix, heard from the store itself. */
public final class StoreChangeSource implements ChangeSource {
  private final SharedStore store;
  private final String prefix;
  private final LongSupplier waitMillis;
  private final MonotonicClock clock;

  /**
   * Creates a source.
   *
   * @param waitMillis how long the next watch waits; bounds how late a silent connection is noticed
   */
  public StoreChangeSource(
      SharedStore store, String prefix, LongSupplier waitMillis, MonotonicClock clock) {
    this.store = store;
    this.prefix = prefix;
    this.waitMillis = waitMillis;
    this.clock = clock;
  }

  @Override
  public CompletableFuture<ObservedChanges> changesAfter(long revision) {
    long sentNanos = clock.nanoTime();
    long wait = waitMillis.getAsLong();
    return store
        .watch(prefix, revision, wait)
        .thenApply(
            changes -> {
              // An answer may have been on its way for long, for instance while this process was
              // suspended. One without changes was not sent before the watch had waited.
              long earliestNanos =
                  changes.changes().isEmpty()
                      ? sentNanos + TimeUnit.MILLISECONDS.toNanos(wait)
                      : sentNanos;
              return new ObservedChanges(changes, Math.min(earliestNanos, clock.nanoTime()));
            });
  }
}
