package org.buckthornferry.store;

import java.util.List;

/**
 * The changes that a watch returned.
 *
 * @param revision the revision from which the next watch continues
 */
public record StoreChanges(List<StoreItem> changes, long revision) {
  /** Copies the list. */
  public StoreChanges {
    changes = List.copyOf(changes);
  }
}
