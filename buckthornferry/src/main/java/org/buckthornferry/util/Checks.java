package org.buckthornferry.util;

/** Checks arguments at public entry points. */
public final class Checks {
  private Checks() {}

  /**
   * Returns {@code value} when it is not null.
   *
   * @throws IllegalArgumentException when {@code value} is null
   */
  public static <T> T notNull(T value, String name) {
    if (value == null) {
      throw new IllegalArgumentException(name + " must not be null");
    }
    return value;
  }

  /**
   * Returns {@code value} when it contains at least one character.
   *
   * @throws IllegalArgumentException when {@code value} is null or empty
   */
  public static String notEmpty(String value, String name) {
    if (value == null || value.isEmpty()) {
      throw new IllegalArgumentException(name + " must not be empty");
    }
    return value;
  }

  /**
   * Returns {@code value} when it is greater than zero.
   *
   * @throws IllegalArgumentException when {@code value} is zero or negative
   */
  public static long positive(long value, String name) {
    if (value <= 0) {
      throw new IllegalArgumentException(name + " must be positive but was " + value);
    }
    return value;
  }

  /**
   * Returns {@code value} when it is not negative.
   *
   * @throws IllegalArgumentException when {@code value} is negative
   */
  public static long notNegative(long value, String name) {
    if (value < 0) {
      throw new IllegalArgumentException(name + " must not be negative but was " + value);
    }
    return value;
  }

  /**
   * Throws when {@code condition} is false.
   *
   * @throws IllegalArgumentException with {@code message} when {@code condition} is false
   */
  public static void check(boolean condition, String message) {
    if (!condition) {
      throw new IllegalArgumentException(message);
    }
  }
}
