package org.buckthornferry.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;

/**
 * A queue of changed keys for gossip, newest first; each key is returned a limited number of times.
 */
final class GossipQueue {
  private final Deque<Item> items = new ArrayDeque<>();

  private static final class Item {
    final String key;
    int remaining;

    Item(String key, int remaining) {
      this.key = key;
      this.remaining = remaining;
    }
  }

  /** Moves {@code key} to the head of the queue, to be returned {@code times} times. */
  void add(String key, int times) {
    items.removeIf(item -> item.key.equals(key));
    items.addFirst(new Item(key, times));
  }

  /** Returns at most {@code max} keys, newest first, and removes those returned often enough. */
  List<String> take(int max) {
    List<String> keys = new ArrayList<>(Math.min(max, items.size()));
    Iterator<Item> iterator = items.iterator();
    while (keys.size() < max && iterator.hasNext()) {
      Item item = iterator.next();
      keys.add(item.key);
      if (--item.remaining <= 0) {
        iterator.remove();
      }
    }
    return keys;
  }

  int size() {
    return items.size();
  }
}
