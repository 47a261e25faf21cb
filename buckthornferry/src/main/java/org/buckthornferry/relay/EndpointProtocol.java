package org.buckthornferry.relay;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Map;
import java.util.Optional;
import org.buckthornferry.catalog.Endpoint;
import org.buckthornferry.http.HttpReply;

/** How requests to endpoints and their answers look on the wire. */
public interface EndpointProtocol {
  /** Returns the header fields of a request to an endpoint. */
  HttpHeaders requestHeaders(Dispatch dispatch);

  /** Returns whether an answer belongs to a request; one without an id does. */
  boolean isAnswerTo(String requestId, HttpHeaders headers);

  /** Returns whether an answer belongs to a call of the protocol itself; such calls have no id. */
  boolean isAnswerToCall(HttpHeaders headers);

  /** Reads the head of an answer. */
  AnswerHead decodeHead(int status, HttpHeaders headers);

  /** Reads what an answer of any kind says of the endpoint itself. */
  Notice notice(int status, HttpHeaders headers);

  /** Returns the call that reserves a slot and memory. */
  Call reserve(long tokens, long validMillis);

  /** Reads the answer to {@link #reserve}. */
  Reservation decodeReservation(HttpReply reply);

  /** Returns the call that gives a reservation back. */
  Call release(String reservationId);

  /**
   * What is sent to an endpoint.
   *
   * @param customerName the customer that the request belongs to, if any
   * @param timeLeftMillis how long the endpoint may work
   * @param reservationId the slot that was reserved
   * @param lastEventId the event after which the stream goes on
   */
  record Dispatch(
      CallerRequest request,
      Endpoint endpoint,
      Optional<String> customerName,
      long timeLeftMillis,
      Optional<String> reservationId,
      Optional<String> lastEventId) {}

  /**
   * What the head of an answer says.
   *
   * @param isSigned whether the endpoint vouches for the answer
   * @param isNotRun whether the endpoint states that it did not run the request
   * @param isMisdirected whether another process than the expected one answered
   * @param returned the header fields that go back to the caller
   */
  record AnswerHead(
      int status, boolean isSigned, boolean isNotRun, boolean isMisdirected, HttpHeaders returned) {
    private static final int FIRST_SUCCESS = 200;
    private static final int FIRST_REDIRECT = 300;

    /** Returns whether the request was served. */
    public boolean isSuccess() {
      return status >= FIRST_SUCCESS && status < FIRST_REDIRECT;
    }
  }

  /**
   * What an endpoint says of itself.
   *
   * @param isLeaving whether it is about to end
   * @param pauseMillis how long it wants no requests of this instance; 0 when it takes them
   */
  record Notice(boolean isLeaving, long pauseMillis) {
    /** Nothing. */
    public static final Notice NONE = new Notice(false, 0);
  }

  /** A call of the protocol itself. */
  @SuppressWarnings("ArrayRecordComponent") // Calls are sent once and never compared.
  record Call(String method, String path, Map<String, String> headers, byte[] body) {}

  /** The answer to a reservation. */
  record Reservation(Kind kind, String id) {
    /** Whether a slot was reserved. */
    public enum Kind {
      /** A slot and memory are reserved. */
      GRANTED,
      /** There is no room. */
      FULL,
      /** There is no room, and the endpoint closes the connection. */
      FULL_AND_CLOSING,
      /** The endpoint offers no reservations; requests are sent without. */
      UNSUPPORTED
    }
  }
}
