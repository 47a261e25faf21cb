package org.buckthornferry.store;

import java.util.concurrent.CompletableFuture;

/** Where the keeper of a copy of the store's items hears of changes. */
@FunctionalInterface
public interface ChangeSource {
  /**
   * Returns the changes after a revision as soon as there is one, or none after a while. Fails with
   * {@link StoreException}; with {@code HISTORY_LOST} when not all changes are known any more.
   */
  CompletableFuture<ObservedChanges> changesAfter(long revision);

  /**
   * Changes, and until when they are all.
   *
   * @param asOfNanos the store held no further change at this time of the local clock
   */
  record ObservedChanges(ChangeBatch changes, long asOfNanos) {}
}
