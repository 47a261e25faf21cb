package org.buckthornferry.cli;

/** The exit codes of every command. */
public enum ExitCode {
  SUCCESS(0),
  FAILED(1),
  USAGE(2),
  INVALID(3),
  CONFLICT(4),
  UNREACHABLE(5);

  private final int code;

  ExitCode(int code) {
    this.code = code;
  }

  /** Returns the exit code of the process. */
  public int code() {
    return code;
  }
}
