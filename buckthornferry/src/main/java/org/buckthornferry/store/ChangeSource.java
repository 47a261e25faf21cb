package org.buckthornferry.store;

import java.util.concurrent.CompletableFuture;

/** Source of changes for a local copy of the store's items. */
@FunctionalInterface
public interface ChangeSource {
  /**
   * Returns the changes after a position as soon as there is one, or an empty batch after a
   * timeout, which is the source's own or {@code maxWaitMillis} if that is shorter. Fails with
   * {@link StoreException}, of kind {@code HISTORY_LOST} when the source no longer has all changes
   * since that position, also because a new era has begun.
   */
  CompletableFuture<ObservedChanges> changesAfter(StorePosition position, long maxWaitMillis);

  /**
   * Changes, and the time up to which they are complete.
   *
   * @param asOfNanos the time of the local clock at which the store held no further change
   */
  record ObservedChanges(ChangeBatch changes, long asOfNanos) {}
}
