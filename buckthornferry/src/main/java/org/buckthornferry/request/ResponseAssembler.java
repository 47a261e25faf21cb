package org.buckthornferry.request;

import org.buckthornferry.error.ErrorKind;
import org.buckthornferry.error.RequestException;
import org.buckthornferry.util.Checks;

/**
 * Decides which parts of a response are delivered to the caller. Parts are matched by request id
 * and offset, so a response counts as whole only when every event up to its declared end has been
 * delivered once and in order. Not safe for concurrent use.
 */
public final class ResponseAssembler {
  private final String requestId;
  private StreamOffsets position;
  private Phase phase = Phase.OPEN;

  /** What to do with a part. */
  public enum Verdict {
    /** The part is the next one and is delivered. */
    DELIVER,
    /** The part was delivered before or came after the end, and is ignored. */
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
   * @param position the first event that the caller wants
   */
  public ResponseAssembler(String requestId, StreamOffsets position) {
    this.requestId = Checks.notEmpty(requestId, "requestId");
    this.position = Checks.notNull(position, "position");
  }

  /**
   * Decides about an event.
   *
   * @throws RequestException of kind {@code TRUNCATED_ANSWER} when the event belongs to another
   *     request, leaves a gap, or comes after the response has failed
   */
  public Verdict onPart(String partRequestId, long offset) {
    checkRequest(partRequestId);
    if (phase == Phase.COMPLETE || offset < position.nextOffset()) {
      return Verdict.IGNORE;
    }
    if (offset > position.nextOffset()) {
      throw fail("event " + position.nextOffset() + " is missing before event " + offset);
    }
    position = position.advance();
    return Verdict.DELIVER;
  }

  /**
   * Handles the declared end of the response. A repeated end is ignored.
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
   * Handles the end of the connection. The response can be resumed from {@link #position()}.
   *
   * @throws RequestException of kind {@code TRUNCATED_ANSWER} when the declared end has not come
   */
  public void onDisconnect() {
    if (phase != Phase.COMPLETE) {
      throw fail("the connection ended before the response");
    }
  }

  /** Accepts further parts from {@link #position()} on, after the stream was resumed. */
  public void resume() {
    Checks.check(phase != Phase.COMPLETE, "a complete response cannot be resumed");
    phase = Phase.OPEN;
  }

  /** Returns the first event that was not delivered. */
  public StreamOffsets position() {
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
