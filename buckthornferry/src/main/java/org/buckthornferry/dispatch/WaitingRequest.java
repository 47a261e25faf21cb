package org.buckthornferry.dispatch;

import java.util.HashSet;
import java.util.Set;
import org.buckthornferry.error.ErrorKind;

/** A request that waits for an endpoint, with all that scheduling needs to know about it. */
public final class WaitingRequest {
  private final String requestId;
  private final String routeName;
  private final Priority priority;
  private final RequestSize size;
  private final PromptPrefix promptPrefix;
  private final long arrivalNanos;
  private final long goalNanos;
  private final long deadlineNanos;
  private final long patienceNanos;
  private final long gapGoalMillis;
  private final boolean isCallerRetry;
  private final Listener listener;
  private final Set<String> excludedEndpoints = new HashSet<>();
  private boolean isLong;
  private boolean isContinuation;
  private boolean isProbe;
  private boolean isCounted;
  private boolean isHandedOver;
  private boolean hasBeenSent;

  /** Carries out the scheduling decisions about a request. */
  public interface Listener {
    /** Sends the request; the listener reports the outcome to the dispatcher. */
    void onPlaced(Placement placement);

    /**
     * Ends a request that is refused and has not run.
     *
     * @param retryAfterMillis the delay after which a retry is likely to be served
     */
    void onRefused(ErrorKind reason, String detail, long retryAfterMillis);
  }

  /**
   * Creates a request.
   *
   * @param routeName requests of one route have a guaranteed share of the slots together
   * @param goalNanos until when the first event is on time
   * @param deadlineNanos when the request is given up
   * @param isCallerRetry whether its caller has sent it before
   */
  public WaitingRequest(
      String requestId,
      String routeName,
      Priority priority,
      RequestSize size,
      PromptPrefix promptPrefix,
      long arrivalNanos,
      long goalNanos,
      long deadlineNanos,
      boolean isCallerRetry,
      Listener listener) {
    this(
        requestId,
        routeName,
        priority,
        size,
        promptPrefix,
        arrivalNanos,
        goalNanos,
        deadlineNanos,
        deadlineNanos,
        0,
        isCallerRetry,
        listener);
  }

  /**
   * Creates a request whose caller may leave before the deadline.
   *
   * @param patienceNanos until when the caller waits for the first event
   * @param gapGoalMillis the longest pause between events with which an answer is good; 0 without
   *     events
   */
  public WaitingRequest(
      String requestId,
      String routeName,
      Priority priority,
      RequestSize size,
      PromptPrefix promptPrefix,
      long arrivalNanos,
      long goalNanos,
      long deadlineNanos,
      long patienceNanos,
      long gapGoalMillis,
      boolean isCallerRetry,
      Listener listener) {
    this.requestId = requestId;
    this.routeName = routeName;
    this.priority = priority;
    this.size = size;
    this.promptPrefix = promptPrefix;
    this.arrivalNanos = arrivalNanos;
    this.goalNanos = goalNanos;
    this.deadlineNanos = deadlineNanos;
    this.patienceNanos = patienceNanos;
    this.gapGoalMillis = gapGoalMillis;
    this.isCallerRetry = isCallerRetry;
    this.listener = listener;
  }

  /** Returns the id that the caller gave the request. */
  public String requestId() {
    return requestId;
  }

  /** Returns the priority. */
  public Priority priority() {
    return priority;
  }

  /** Returns the size. */
  public RequestSize size() {
    return size;
  }

  /** Returns the prompt prefix that other requests may share. */
  public PromptPrefix promptPrefix() {
    return promptPrefix;
  }

  /** Excludes an endpoint that failed this request from further attempts. */
  public void exclude(String endpointId) {
    excludedEndpoints.add(endpointId);
  }

  /**
   * Marks a request whose first attempt failed. It waits until its deadline for another endpoint.
   */
  public void markSent() {
    hasBeenSent = true;
  }

  /**
   * Marks a request that a coordinator has admitted and now waits here, as long as its caller does.
   */
  public void markHandedOver() {
    isHandedOver = true;
  }

  boolean isHandedOver() {
    return isHandedOver;
  }

  /** Marks a partly delivered stream that continues elsewhere; its caller waits for events. */
  public void markContinuation() {
    isContinuation = true;
  }

  /** Marks the request that probes whether unreachable endpoints answer again. */
  void markProbe() {
    isProbe = true;
  }

  boolean isProbe() {
    return isProbe;
  }

  /** Marks a request whose answer is expected to be long for its route. */
  void markLong() {
    isLong = true;
  }

  /** Returns whether the answer is expected to be long for its route. */
  public boolean isLong() {
    return isLong;
  }

  /** Returns true on the first call only, so that a requeued request is counted once. */
  boolean countOnce() {
    boolean first = !isCounted;
    isCounted = true;
    return first;
  }

  /** Returns the route, whose requests have a guaranteed share of the slots together. */
  public String routeName() {
    return routeName;
  }

  /** Returns when the request arrived. */
  public long arrivalNanos() {
    return arrivalNanos;
  }

  /** Returns until when the first event is on time. */
  public long goalNanos() {
    return goalNanos;
  }

  /** Returns when the request is given up. */
  public long deadlineNanos() {
    return deadlineNanos;
  }

  /** Returns until when the caller waits for the first event. */
  public long patienceNanos() {
    return patienceNanos;
  }

  /** Returns the longest pause between events with which an answer is good, or 0 without events. */
  public long gapGoalMillis() {
    return gapGoalMillis;
  }

  /** Returns what carries out the decisions about the request. */
  public Listener listener() {
    return listener;
  }

  /** Returns whether the caller has sent the request before. */
  public boolean isCallerRetry() {
    return isCallerRetry;
  }

  /** Returns whether an attempt has failed. */
  public boolean hasBeenSent() {
    return hasBeenSent;
  }

  boolean isCounted() {
    return isCounted;
  }

  /** Returns whether a partly delivered stream continues. */
  public boolean isContinuation() {
    return isContinuation;
  }

  /** Returns the endpoints that failed this request. */
  public Set<String> excludedEndpoints() {
    return Set.copyOf(excludedEndpoints);
  }

  boolean mayUse(String endpointId) {
    return !excludedEndpoints.contains(endpointId);
  }
}
