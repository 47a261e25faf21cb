package org.buckthornferry.dispatch;

import java.util.HashSet;
import java.util.Set;
import org.buckthornferry.error.ErrorKind;

/** What the decisions know about a request that needs an endpoint. */
public final class WaitingRequest {
  private final String requestId;
  private final String routeName;
  private final Priority priority;
  private final RequestSize size;
  private final PromptPrefix sharedPrompt;
  private final long arrivalNanos;
  private final long goalNanos;
  private final long deadlineNanos;
  private final boolean isCallerRetry;
  private final Listener listener;
  private final Set<String> excludedEndpoints = new HashSet<>();
  private boolean isLong;
  private boolean isContinuation;
  private boolean isProbe;
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
   * @param routeName requests of one kind share a guaranteed part of the slots
   * @param goalNanos when the first event is still on time
   * @param deadlineNanos when the request is given up
   * @param isCallerRetry whether its caller has tried before
   */
  public WaitingRequest(
      String requestId,
      String routeName,
      Priority priority,
      RequestSize size,
      PromptPrefix sharedPrompt,
      long arrivalNanos,
      long goalNanos,
      long deadlineNanos,
      boolean isCallerRetry,
      Listener listener) {
    this.requestId = requestId;
    this.routeName = routeName;
    this.priority = priority;
    this.size = size;
    this.sharedPrompt = sharedPrompt;
    this.arrivalNanos = arrivalNanos;
    this.goalNanos = goalNanos;
    this.deadlineNanos = deadlineNanos;
    this.isCallerRetry = isCallerRetry;
    this.listener = listener;
  }

  /** Returns the id that the caller gave the request. */
  public String requestId() {
    return requestId;
  }

  /** Returns the importance. */
  public Priority priority() {
    return priority;
  }

  /** Returns how large the request is. */
  public RequestSize size() {
    return size;
  }

  PromptPrefix sharedPrompt() {
    return sharedPrompt;
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

  /** Marks the request that tries whether endpoints that were out of reach answer again. */
  void markProbe() {
    isProbe = true;
  }

  boolean isProbe() {
    return isProbe;
  }

  /** Marks a request whose answer is expected to be long for its kind. */
  void markLong() {
    isLong = true;
  }

  boolean isLong() {
    return isLong;
  }

  /** Returns true on the first call only, so that a request that waits again is counted once. */
  boolean countOnce() {
    boolean first = !isCounted;
    isCounted = true;
    return first;
  }

  String routeName() {
    return routeName;
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
  public boolean isCallerRetry() {
    return isCallerRetry;
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
