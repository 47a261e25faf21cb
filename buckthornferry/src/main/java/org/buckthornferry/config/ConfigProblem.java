package org.buckthornferry.config;

import org.buckthornferry.util.Checks;

/**
 * A validation problem in settings or declarations.
 *
 * @param file the file, as the operator named it
 * @param jsonPath the JSON path of the value, such as {@code $.endpoints[2].address}
 * @param value the offending value, shortened when it is long
 * @param allowed what is allowed at that path
 */
public record ConfigProblem(String file, String jsonPath, String value, String allowed) {
  private static final int MAX_VALUE_CHARS = 120;

  /** Checks that the values are present and shortens the value. */
  public ConfigProblem {
    Checks.notNull(file, "file");
    Checks.notNull(jsonPath, "jsonPath");
    Checks.notNull(value, "value");
    Checks.notNull(allowed, "allowed");
    if (value.length() > MAX_VALUE_CHARS) {
      value = value.substring(0, MAX_VALUE_CHARS) + "...";
    }
  }

  @Override
  public String toString() {
    return file + ": " + jsonPath + ": " + value + " is not allowed; allowed: " + allowed;
  }
}
