package org.buckthornferry.control;

import org.buckthornferry.util.Checks;

/**
 * Names one value on the blackboard. Each subject package declares its entries as constants.
 *
 * @param <T> the immutable type of the value
 */
public final class BlackboardEntry<T> {
  private final String name;
  private final T initialValue;

  private BlackboardEntry(String name, T initialValue) {
    this.name = name;
    this.initialValue = initialValue;
  }

  /** Returns an entry that holds {@code initialValue} until its first write. */
  public static <T> BlackboardEntry<T> of(String name, T initialValue) {
    return new BlackboardEntry<>(
        Checks.notEmpty(name, "name"), Checks.notNull(initialValue, "initialValue"));
  }

  /** Returns the name of the entry in state dumps. */
  public String name() {
    return name;
  }

  T initialValue() {
    return initialValue;
  }
}
