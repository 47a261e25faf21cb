package org.buckthornferry.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;

/** Keys of what changed, newest first, each handed out a limited number of times. */
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

  /** Puts {@code key} first, to be handed out {@code times} times. */
  void add(String key, int times) {
    items.removeIf(item -> item.key.equals(key));
    items.addFirst(new Item(key, times));
  }

  /** Returns at most {@code max} keys, newest first, and counts each as handed out once. */
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
