package org.buckthornferry.control;

import org.buckthornferry.util.Checks;

/**
 * Typed key of one value on the blackboard. Packages declare their entries as constants.
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

  /** Creates an entry whose value is {@code initialValue} until the first write. */
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
