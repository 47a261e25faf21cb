package org.buckthornferry.request;

import org.buckthornferry.error.ErrorKind;
import org.buckthornferry.error.RequestException;
import org.buckthornferry.util.Checks;

/**
 * Selects the events of a response stream that are delivered to the caller. Events are matched by
 * request id and offset, so a response is complete only when every event up to its declared end was
 * delivered exactly once and in order. Not thread-safe.
 */
public final class ResponseAssembler {
  private final String requestId;
  private StreamPosition position;
  private Phase phase = Phase.OPEN;

  /** Whether a received event is delivered. */
  public enum Action {
    /** The event is the next in order. */
    DELIVER,
    /** The event is a duplicate or follows the end of the response. */
    IGNORE
  }

  private enum Phase {
    OPEN,
    COMPLETE,
    FAILED
  }

  /**
   * Creates an assembler for one request.
   *
   * @param position the position of the first event to deliver
   */
  public ResponseAssembler(String requestId, StreamPosition position) {
    this.requestId = Checks.notEmpty(requestId, "requestId");
    this.position = Checks.notNull(position, "position");
  }

  /**
   * Handles an event and returns whether to deliver it.
   *
   * @throws RequestException of kind {@code TRUNCATED_ANSWER} when the event belongs to another
   *     request, leaves a gap, or comes after the response has failed
   */
  public Action onPart(String partRequestId, long offset) {
    checkRequest(partRequestId);
    if (phase == Phase.COMPLETE || offset < position.nextOffset()) {
      return Action.IGNORE;
    }
    if (offset > position.nextOffset()) {
      throw fail("event " + position.nextOffset() + " is missing before event " + offset);
    }
    position = position.advance();
    return Action.DELIVER;
  }

  /**
   * Handles the declared end of the response. A duplicate end is ignored.
   *
   * @param eventCount the number of events of the whole response, counted from offset 0
   * @throws RequestException of kind {@code TRUNCATED_ANSWER} when events are missing or the end
   *     belongs to another request
   */
  public void onEnd(String endRequestId, long eventCount) {
    checkRequest(endRequestId);
    if (eventCount != position.nextOffset()) {
      throw fail("the response ends at " + eventCount + ", received " + position.nextOffset());
    }
    phase = Phase.COMPLETE;
  }

  /**
   * Handles the close of the connection. The response can be resumed from {@link #position()}.
   *
   * @throws RequestException of kind {@code TRUNCATED_ANSWER} when the declared end was not
   *     received
   */
  public void onDisconnect() {
    if (phase != Phase.COMPLETE) {
      throw fail("the connection ended before the response");
    }
  }

  /** Accepts events from {@link #position()} on after the stream was resumed. */
  public void resume() {
    Checks.check(phase != Phase.COMPLETE, "a complete response cannot be resumed");
    phase = Phase.OPEN;
  }

  /** Returns the position of the first event that was not delivered. */
  public StreamPosition position() {
    return position;
  }

  /** Returns whether the whole response was delivered. */
  public boolean isComplete() {
    return phase == Phase.COMPLETE;
  }

  private void checkRequest(String partRequestId) {
    if (!requestId.equals(partRequestId)) {
      throw fail("a part of request " + partRequestId + " arrived for request " + requestId);
    }
    if (phase == Phase.FAILED) {
      throw fail("the response has failed already");
    }
  }

  private RequestException fail(String detail) {
    if (phase == Phase.OPEN) {
      phase = Phase.FAILED;
    }
    return new RequestException(ErrorKind.TRUNCATED_ANSWER, detail);
  }
}
