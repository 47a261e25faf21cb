package org.buckthornferry.cli;

/** A sub-command; its options are JCommander parameters of the implementing class. */
public interface Command {
  /** Returns the name on the command line. */
  String name();

  /** Runs the command and returns the exit code. */
  ExitCode run() throws Exception;
}
