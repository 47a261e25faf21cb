package org.buckthornferry.util;

/** Runs tasks later on the thread of its owner. */
@FunctionalInterface
public interface Scheduler {
  /** Runs {@code task} after {@code delayMillis} and returns what revokes it. */
  Task schedule(Runnable task, long delayMillis);

  /** A task that waits for its time. */
  @FunctionalInterface
  interface Task {
    /** A task that has nothing to revoke. */
    Task NONE = () -> {};

    /** Revokes the task; without effect when it has run. */
    void cancel();
  }
}
