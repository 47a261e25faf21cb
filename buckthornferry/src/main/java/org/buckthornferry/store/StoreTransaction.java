package org.buckthornferry.store;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/** A change of one or more keys that takes effect as a whole or not at all. Immutable. */
public final class StoreTransaction {
  /** A revision of 0 requires that the key is absent. */
  public record Condition(String key, long revision) {}

  /** A key that gets a value, and the lease that removes it when it ends. */
  @SuppressWarnings("ArrayRecordComponent") // Values are handed over and never changed.
  public record Write(String key, byte[] value, OptionalLong leaseId) {}

  private final List<Condition> conditions;
  private final List<Write> writes;
  private final List<String> removals;

  private StoreTransaction(List<Condition> conditions, List<Write> writes, List<String> removals) {
    this.conditions = List.copyOf(conditions);
    this.writes = List.copyOf(writes);
    this.removals = List.copyOf(removals);
  }

  /** Returns a change that writes one key without a condition. */
  public static StoreTransaction put(String key, byte[] value, OptionalLong leaseId) {
    return new StoreTransaction(List.of(), List.of(new Write(key, value, leaseId)), List.of());
  }

  /** Returns a change that removes one key without a condition. */
  public static StoreTransaction removal(String key) {
    return new StoreTransaction(List.of(), List.of(), List.of(key));
  }

  /** Returns this change with the further condition that {@code key} has {@code revision}. */
  public StoreTransaction onlyIf(String key, long revision) {
    List<Condition> more = new ArrayList<>(conditions);
    more.add(new Condition(key, revision));
    return new StoreTransaction(more, writes, removals);
  }

  /** Returns the conditions, which must all hold. */
  public List<Condition> conditions() {
    return conditions;
  }

  /** Returns the keys that get a value. */
  public List<Write> writes() {
    return writes;
  }

  /** Returns the keys that are removed. */
  public List<String> removals() {
    return removals;
  }
}
