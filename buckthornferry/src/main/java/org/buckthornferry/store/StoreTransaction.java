package org.buckthornferry.store;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/** An atomic, optionally conditional write of one or more keys. Immutable. */
public final class StoreTransaction {
  /** Requires that a key has a revision; 0 requires that the key is absent. */
  public record Condition(String key, long revision) {}

  /** A write of one key, and the lease whose end removes the key. */
  @SuppressWarnings("ArrayRecordComponent") // Arrays are never modified after construction.
  public record Write(String key, byte[] value, OptionalLong leaseId) {}

  private final List<Condition> conditions;
  private final List<Write> writes;
  private final List<String> removals;

  private StoreTransaction(List<Condition> conditions, List<Write> writes, List<String> removals) {
    this.conditions = List.copyOf(conditions);
    this.writes = List.copyOf(writes);
    this.removals = List.copyOf(removals);
  }

  /** Returns a transaction that writes one key unconditionally. */
  public static StoreTransaction put(String key, byte[] value, OptionalLong leaseId) {
    return new StoreTransaction(List.of(), List.of(new Write(key, value, leaseId)), List.of());
  }

  /** Returns a transaction that removes one key unconditionally. */
  public static StoreTransaction removal(String key) {
    return new StoreTransaction(List.of(), List.of(), List.of(key));
  }

  /** Returns this transaction with the added condition that {@code key} has {@code revision}. */
  public StoreTransaction onlyIf(String key, long revision) {
    List<Condition> more = new ArrayList<>(conditions);
    more.add(new Condition(key, revision));
    return new StoreTransaction(more, writes, removals);
  }

  /** Returns this transaction with the added removal of {@code key}. */
  public StoreTransaction andRemove(String key) {
    List<String> more = new ArrayList<>(removals);
    more.add(key);
    return new StoreTransaction(conditions, writes, more);
  }

  /** Returns the conditions, which must all hold. */
  public List<Condition> conditions() {
    return conditions;
  }

  /** Returns the writes. */
  public List<Write> writes() {
    return writes;
  }

  /** Returns the keys that are removed. */
  public List<String> removals() {
    return removals;
  }
}
