package org.buckthornferry.cli;

import java.util.logging.LogManager;

/**
 * Keeps the log handlers until the process has ended. The default manager closes them as soon as a
 * stop is requested, so that the events of a graceful shutdown would be lost.
 */
public final class DaemonLogManager extends LogManager {
  /** Creates the manager; called by the logging framework. */
  public DaemonLogManager() {}

  @Override
  public void reset() {}
}
