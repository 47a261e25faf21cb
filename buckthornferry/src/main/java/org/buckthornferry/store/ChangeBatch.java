package org.buckthornferry.store;

import java.util.List;

/**
 * The changes that one watch returned.
 *
 * @param revision the revision from which the next watch continues
 */
public record ChangeBatch(List<StoreItem> changes, long revision) {
  /** Copies the list. */
  public ChangeBatch {
    changes = List.copyOf(changes);
  }
}
