package org.buckthornferry.testing;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BiFunction;
import org.buckthornferry.store.ChangeBatch;
import org.buckthornferry.store.Lease;
import org.buckthornferry.store.SharedStore;
import org.buckthornferry.store.StoreException;
import org.buckthornferry.store.StoreException.Kind;
import org.buckthornferry.store.StorePage;
import org.buckthornferry.store.StorePosition;
import org.buckthornferry.store.StoreTransaction;
import org.buckthornferry.util.MonotonicClock;
import org.buckthornferry.util.Scheduler;

/**
 * Processes on virtual time that share a store and call each other. Each can be killed, suspended,
 * cut off from the store or from the others.
 */
public final class VirtualInstances {
  /** One way between two processes or to the store, in milliseconds. */
  private static final long DELAY_MILLIS = 2;

  /** How much longer than its own waiting time a call to the store may take, in milliseconds. */
  private static final long STORE_GRACE_MILLIS = 700;

  private final ManualScheduler time;
  private final SharedStore store;
  private final Map<InetSocketAddress, Node> processes = new HashMap<>();

  /** Creates an empty set of processes. */
  public VirtualInstances(ManualScheduler time, SharedStore store) {
    this.time = time;
    this.store = store;
  }

  /** Starts a process. */
  public Node start(InetSocketAddress address) {
    Node process = new Node(address);
    processes.put(address, process);
    return process;
  }

  /** One process with its own clock. */
  public final class Node implements Scheduler, MonotonicClock {
    private final InetSocketAddress address;
    private final List<Runnable> backlog = new ArrayList<>();
    private BiFunction<String, byte[], CompletableFuture<byte[]>> responder =
        (kind, message) -> CompletableFuture.failedFuture(new IllegalStateException("no answer"));
    private boolean isDead;
    private boolean isSuspended;
    private boolean isCutFromStore;
    private boolean isCutFromOthers;
    private long suspendedSinceMillis;
    private long suspendedMillis;

    private Node(InetSocketAddress address) {
      this.address = address;
    }

    /** Sets what answers calls, by the kind of message. */
    public void respondWith(BiFunction<String, byte[], CompletableFuture<byte[]>> newResponder) {
      responder = newResponder;
    }

    /** Ends the process; connections to it are reset. */
    public void kill() {
      isDead = true;
      backlog.clear();
      processes.remove(address, this);
    }

    /** Stops the process; what reaches it waits, and its steady clock stands still. */
    public void suspend() {
      isSuspended = true;
      suspendedSinceMillis = timeOfDayMillis();
    }

    /** Lets the process go on. */
    public void resume() {
      isSuspended = false;
      suspendedMillis += timeOfDayMillis() - suspendedSinceMillis;
      List<Runnable> waiting = List.copyOf(backlog);
      backlog.clear();
      waiting.forEach(this::deliver);
    }

    /** Returns whether the process has ended. */
    public boolean isDead() {
      return isDead;
    }

    /** Returns whether the process stands still. */
    public boolean isSuspended() {
      return isSuspended;
    }

    /** Loses all packets between this process and the store, or none. */
    public void cutFromStore(boolean isCut) {
      isCutFromStore = isCut;
    }

    /** Loses all packets between this process and the others, or none. */
    public void cutFromOthers(boolean isCut) {
      isCutFromOthers = isCut;
    }

    /** Returns the time of day. */
    public long timeOfDayMillis() {
      return TimeUnit.NANOSECONDS.toMillis(time.nanoTime());
    }

    @Override
    public long nanoTime() {
      long currentMillis = isSuspended ? timeOfDayMillis() - suspendedSinceMillis : 0;
      return time.nanoTime() - TimeUnit.MILLISECONDS.toNanos(suspendedMillis + currentMillis);
    }

    @Override
    public Task schedule(Runnable task, long delayMillis) {
      return time.schedule(() -> deliver(task), delayMillis);
    }

    /** Returns the store as this process reaches it. */
    public SharedStore store() {
      return new ReachedStore(this);
    }

    /** Calls another process. */
    public CompletableFuture<byte[]> call(
        InetSocketAddress other, String kind, byte[] message, long timeoutMillis) {
      CompletableFuture<byte[]> result = new CompletableFuture<>();
      schedule(() -> result.completeExceptionally(new TimeoutException("no reply")), timeoutMillis);
      time.schedule(() -> arrive(other, kind, message, result), DELAY_MILLIS);
      return result;
    }

    private void arrive(
        InetSocketAddress other, String kind, byte[] message, CompletableFuture<byte[]> result) {
      Node target = processes.get(other);
      if (target == null) {
        deliver(() -> result.completeExceptionally(new IllegalStateException("reset")));
        return;
      }
      if (isCutFromOthers || target.isCutFromOthers) {
        return;
      }
      target.deliver(
          () ->
              target
                  .responder
                  .apply(kind, message)
                  .whenComplete(
                      (reply, failure) ->
                          time.schedule(
                              () -> {
                                boolean isLost =
                                    target.isDead || isCutFromOthers || target.isCutFromOthers;
                                if (isLost) {
                                  return;
                                }
                                deliver(() -> finish(result, reply, failure));
                              },
                              DELAY_MILLIS)));
    }

    private void deliver(Runnable task) {
      if (isDead) {
        return;
      }
      if (isSuspended) {
        backlog.add(task);
      } else {
        task.run();
      }
    }

    private <T> CompletableFuture<T> reach(CompletableFuture<T> answer, long timeoutMillis) {
      CompletableFuture<T> result = new CompletableFuture<>();
      boolean isLostOnTheWay = isCutFromStore;
      schedule(
          () ->
              result.completeExceptionally(
                  new StoreException(Kind.OUTCOME_UNKNOWN, "no answer in time")),
          timeoutMillis);
      answer.whenComplete(
          (value, failure) ->
              time.schedule(
                  () -> {
                    if (!isLostOnTheWay && !isCutFromStore) {
                      deliver(() -> finish(result, value, failure));
                    }
                  },
                  2 * DELAY_MILLIS));
      return result;
    }
  }

  private static <T> void finish(CompletableFuture<T> result, T value, Throwable failure) {
    if (failure == null) {
      result.complete(value);
    } else {
      result.completeExceptionally(failure);
    }
  }

  private final class ReachedStore implements SharedStore {
    private final Node process;

    private ReachedStore(Node process) {
      this.process = process;
    }

    private <T> CompletableFuture<T> reach(CompletableFuture<T> answer) {
      return process.reach(answer, STORE_GRACE_MILLIS);
    }

    @Override
    public CompletableFuture<StorePage> list(String prefix, String afterKey) {
      return reach(store.list(prefix, afterKey));
    }

    @Override
    public CompletableFuture<ChangeBatch> watch(
        String prefix, long afterRevision, long waitMillis) {
      return process.reach(
          store.watch(prefix, afterRevision, waitMillis), waitMillis + STORE_GRACE_MILLIS);
    }

    @Override
    public CompletableFuture<StorePosition> apply(StoreTransaction change) {
      return reach(store.apply(change));
    }

    @Override
    public CompletableFuture<Lease> grantLease(long ttlMillis) {
      return reach(store.grantLease(ttlMillis));
    }

    @Override
    public CompletableFuture<Void> renewLease(Lease lease) {
      return reach(store.renewLease(lease));
    }
  }
}
