package org.buckthornferry.store;

import java.util.List;

/**
 * One page of a listing.
 *
 * @param hasMore whether further items follow the last one
 * @param position the position of the store when the page was read
 */
public record StorePage(List<StoreItem> items, boolean hasMore, StorePosition position) {
  /** Copies the list. */
  public StorePage {
    items = List.copyOf(items);
  }
}
