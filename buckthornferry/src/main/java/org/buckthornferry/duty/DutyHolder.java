package org.buckthornferry.duty;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.buckthornferry.store.StoreTransaction;

/** This instance's part in the election of the holder of one subject. Used by one thread. */
public interface DutyHolder {
  /** Receives changes of the holder's state on the event loop. */
  interface Listener {
    /** Called when this instance has become the holder, with a higher token than any before. */
    void onGained(long fencingToken);

    /**
     * Called when this instance is no longer the holder. {@link #fencingToken} may have become
     * empty earlier, when the lease was about to end.
     */
    void onLost(long fencingToken);
  }

  /** Returns what the holder acts on. */
  DutySubject subject();

  /** Starts to stand for election. */
  void start();

  /**
   * Stops acting at once and gives the subject up. Completes when the store knows, also if the
   * store could not be reached.
   */
  CompletableFuture<Void> stop();

  /**
   * Returns the fencing token while this instance may act. To be read directly before each call to
   * the platform and not kept: a suspension may end the lease between two instructions.
   */
  Optional<Long> fencingToken();

  /**
   * Reports the platform's reply to a call with a token. After an outdated token the holder does
   * not use that token again.
   */
  void onReply(long fencingToken, DutyReply reply);

  /**
   * Returns the condition that this instance is the holder, for its own writes to the store; empty
   * when it is not.
   */
  default Optional<StoreTransaction.Condition> storeCondition() {
    return Optional.empty();
  }

  /** Returns the id of the instance that holds the subject, as far as known here. */
  Optional<String> holderId();
}
