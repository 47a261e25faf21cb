package org.buckthornferry.util;

/** Runs tasks after a delay on the owner's thread. */
@FunctionalInterface
public interface Scheduler {
  /** Schedules {@code task} to run after {@code delayMillis} and returns a handle to cancel it. */
  Task schedule(Runnable task, long delayMillis);

  /** A handle of a scheduled task. */
  @FunctionalInterface
  interface Task {
    /** A handle without a task; cancelling it has no effect. */
    Task NONE = () -> {};

    /** Cancels the task. Has no effect after the task has run. */
    void cancel();
  }
}
