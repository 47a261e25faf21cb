package org.buckthornferry.config;

import java.util.List;
import java.util.stream.Collectors;
import org.buckthornferry.util.Checks;

/** Thrown when settings or declarations are invalid; lists every problem found. */
public final class ConfigException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final transient List<ConfigProblem> problems;

  /** Creates an exception for at least one problem. */
  public ConfigException(List<ConfigProblem> problems) {
    super(problems.stream().map(ConfigProblem::toString).collect(Collectors.joining("\n")));
    Checks.check(!problems.isEmpty(), "problems must not be empty");
    this.problems = List.copyOf(problems);
  }

  /** Returns the problems in the order of files and positions. */
  public List<ConfigProblem> problems() {
    return problems;
  }
}
