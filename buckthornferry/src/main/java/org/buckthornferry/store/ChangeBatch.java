package org.buckthornferry.store;

import java.util.List;

/**
 * The changes that one watch returned.
 *
 * @param position the position from which the next watch continues
 */
public record ChangeBatch(List<StoreItem> changes, StorePosition position) {
  /** Copies the list. */
  public ChangeBatch {
    changes = List.copyOf(changes);
  }
}
