package org.buckthornferry.control;

import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.agrona.ErrorHandler;
import org.agrona.concurrent.Agent;
import org.agrona.concurrent.AgentRunner;
import org.agrona.concurrent.BackoffIdleStrategy;
import org.agrona.concurrent.ManyToOneConcurrentLinkedQueue;
import org.buckthornferry.peer.PeerMessage;
import org.buckthornferry.util.MonotonicClock;

/**
 * Event loop of an instance's control thread: runs submitted tasks in order and periodically ticks
 * every controller. An exception in a task or tick is reported to the error handler and does not
 * stop the loop.
 */
public final class ControlLoop implements Executor {
  /** The interval between two ticks, in nanoseconds. */
  public static final long TICK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

  private static final int MAX_TASKS_PER_CYCLE = 256;

  private final MonotonicClock clock;
  private final ErrorHandler errorHandler;
  private final ManyToOneConcurrentLinkedQueue<Runnable> tasks =
      new ManyToOneConcurrentLinkedQueue<>();
  private final AgentRunner runner;
  private List<Controller> controllers = List.of();
  private long nextTickNanos;

  /** Creates a loop that is not started. */
  public ControlLoop(MonotonicClock clock, ErrorHandler errorHandler) {
    this.clock = clock;
    this.errorHandler = errorHandler;
    this.runner =
        new AgentRunner(
            new BackoffIdleStrategy(
                20, 20, TimeUnit.MICROSECONDS.toNanos(10), TimeUnit.MICROSECONDS.toNanos(200)),
            errorHandler,
            null,
            new LoopAgent());
  }

  /** Starts the control thread, which ticks {@code controllers} in the given order. */
  public void start(List<Controller> controllers) {
    this.controllers = List.copyOf(controllers);
    AgentRunner.startOnThread(runner);
  }

  /** Stops the control thread and waits until it has ended. Queued tasks are not run. */
  public void stop() {
    runner.close();
  }

  /** Queues {@code task} to run on the control thread after all tasks submitted earlier. */
  @Override
  public void execute(Runnable task) {
    tasks.add(task);
  }

  /** Delivers a peer message to every controller on the control thread. */
  public void deliver(String fromInstanceId, PeerMessage message) {
    execute(
        () -> {
          long nowNanos = clock.nanoTime();
          for (Controller controller : controllers) {
            controller.onMessage(fromInstanceId, message, nowNanos);
          }
        });
  }

  private int runTasks() {
    int count = 0;
    while (count < MAX_TASKS_PER_CYCLE) {
      Runnable task = tasks.poll();
      if (task == null) {
        break;
      }
      runReportingErrors(task);
      count++;
    }
    return count;
  }

  private int tickIfDue() {
    long nowNanos = clock.nanoTime();
    if (nowNanos - nextTickNanos < 0) {
      return 0;
    }
    nextTickNanos = nowNanos + TICK_INTERVAL_NANOS;
    for (Controller controller : controllers) {
      runReportingErrors(() -> controller.onTick(nowNanos));
    }
    return 1;
  }

  private void runReportingErrors(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      errorHandler.onError(e);
    }
  }

  private final class LoopAgent implements Agent {
    @Override
    public void onStart() {
      nextTickNanos = clock.nanoTime();
    }

    @Override
    public int doWork() {
      return runTasks() + tickIfDue();
    }

    @Override
    public String roleName() {
      return "control";
    }
  }
}
