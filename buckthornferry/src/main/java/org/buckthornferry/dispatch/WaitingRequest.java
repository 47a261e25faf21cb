package org.buckthornferry.dispatch;

import java.util.HashSet;
import java.util.Set;
import org.buckthornferry.error.ErrorKind;

/** What the decisions know about a request that needs an endpoint. */
public final class WaitingRequest {
  private final String requestId;
  private final String kindName;
  private final Rank rank;
  private final long promptTokens;
  private final long memoryTokens;
  private final long arrivalNanos;
  private final long goalNanos;
  private final long deadlineNanos;
  private final boolean hasReturned;
  private final Listener listener;
  private final Set<String> excludedEndpoints = new HashSet<>();
  private boolean isContinuation;
  private boolean isCounted;
  private boolean hasBeenSent;

  /** Carries out the decisions about a request. */
  public interface Listener {
    /** The request is to be sent. Reports the outcome to the dispatcher. */
    void onPlaced(Placement placement);

    /**
     * The request is given up and has not run.
     *
     * @param retryAfterMillis when a repeat is likely to be served
     */
    void onRefused(ErrorKind reason, String detail, long retryAfterMillis);
  }

  /**
   * Creates a request.
   *
   * @param kindName requests of one kind share a guaranteed part of the slots
   * @param promptTokens the tokens to read before the first event
   * @param memoryTokens the most tokens that the request occupies at an endpoint
   * @param goalNanos when the first event is still on time
   * @param deadlineNanos when the request is given up
   * @param hasReturned whether its caller has tried before
   */
  public WaitingRequest(
      String requestId,
      String kindName,
      Rank rank,
      long promptTokens,
      long memoryTokens,
      long arrivalNanos,
      long goalNanos,
      long deadlineNanos,
      boolean hasReturned,
      Listener listener) {
    this.requestId = requestId;
    this.kindName = kindName;
    this.rank = rank;
    this.promptTokens = promptTokens;
    this.memoryTokens = memoryTokens;
    this.arrivalNanos = arrivalNanos;
    this.goalNanos = goalNanos;
    this.deadlineNanos = deadlineNanos;
    this.hasReturned = hasReturned;
    this.listener = listener;
  }

  /** Returns the id that the caller gave the request. */
  public String requestId() {
    return requestId;
  }

  /** Returns the importance. */
  public Rank rank() {
    return rank;
  }

  /** Returns the tokens to read before the first event. */
  public long promptTokens() {
    return promptTokens;
  }

  /** Returns the most tokens that the request occupies at an endpoint. */
  public long memoryTokens() {
    return memoryTokens;
  }

  /** Keeps the request away from an endpoint that has failed it. */
  public void exclude(String endpointId) {
    excludedEndpoints.add(endpointId);
  }

  /**
   * Marks a request whose first endpoint failed; its caller waits for an answer until its deadline.
   */
  public void markSent() {
    hasBeenSent = true;
  }

  /** Marks a stream that has begun and goes on elsewhere; its caller is waiting for events. */
  public void markContinuation() {
    isContinuation = true;
  }

  /** Returns true on the first call only, so that a request that waits again is counted once. */
  boolean countOnce() {
    boolean first = !isCounted;
    isCounted = true;
    return first;
  }

  String kindName() {
    return kindName;
  }

  long arrivalNanos() {
    return arrivalNanos;
  }

  long goalNanos() {
    return goalNanos;
  }

  long deadlineNanos() {
    return deadlineNanos;
  }

  Listener listener() {
    return listener;
  }

  /** Returns whether the caller has tried before. */
  public boolean hasReturned() {
    return hasReturned;
  }

  boolean hasBeenSent() {
    return hasBeenSent;
  }

  boolean isCounted() {
    return isCounted;
  }

  boolean isContinuation() {
    return isContinuation;
  }

  boolean mayUse(String endpointId) {
    return !excludedEndpoints.contains(endpointId);
  }
}
