package org.buckthornferry.relay;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Map;
import java.util.Optional;
import org.buckthornferry.catalog.Endpoint;
import org.buckthornferry.dispatch.RateLimitNotice;
import org.buckthornferry.http.HttpReply;

/** Wire format of requests to endpoints and of their responses. */
public interface EndpointProtocol {
  /** Returns the header fields of a request to an endpoint. */
  HttpHeaders requestHeaders(Dispatch dispatch);

  /**
   * Returns whether a response belongs to a request. One without a request id belongs to a control
   * request, or to a request that had none.
   */
  boolean isResponseTo(String requestId, HttpHeaders headers);

  /** Returns whether a response belongs to a control request; those have no request id. */
  boolean isControlResponse(HttpHeaders headers);

  /** Decodes the head of a response. */
  ResponseHead decodeResponseHead(int status, HttpHeaders headers);

  /** Decodes what a response states about the availability of its endpoint. */
  AvailabilityNotice decodeAvailability(int status, HttpHeaders headers);

  /** Returns the control request that reserves a slot and memory for {@code tokens}. */
  ControlRequest reserve(long tokens, long ttlMillis);

  /** Decodes the response to {@link #reserve}. */
  Reservation decodeReservation(HttpReply reply);

  /** Returns the control request that releases a reservation. */
  ControlRequest release(String reservationId);

  /**
   * An attempt to be sent to an endpoint.
   *
   * @param customerName the customer that sent the request, if known
   * @param timeBudgetMillis the time that the endpoint has for the response
   * @param reservationId the id of the reserved slot, if any
   * @param lastEventId the id of the event after which the stream resumes
   */
  record Dispatch(
      CallerRequest request,
      Endpoint endpoint,
      Optional<String> customerName,
      long timeBudgetMillis,
      Optional<String> reservationId,
      Optional<String> lastEventId) {}

  /**
   * The decoded head of a response.
   *
   * @param isSigned whether the response carries the endpoint's signature
   * @param isNotRun whether the endpoint states that it did not run the request
   * @param isMisdirected whether a process other than the expected endpoint responded
   * @param forwardedHeaders the header fields that are forwarded to the caller
   */
  record ResponseHead(
      int status,
      boolean isSigned,
      boolean isNotRun,
      boolean isMisdirected,
      HttpHeaders forwardedHeaders) {
    private static final int FIRST_SUCCESS = 200;
    private static final int FIRST_REDIRECT = 300;

    /** Returns whether the status is a success (2xx). */
    public boolean isSuccess() {
      return status >= FIRST_SUCCESS && status < FIRST_REDIRECT;
    }
  }

  /**
   * What an endpoint states about its availability.
   *
   * @param isLeaving whether the endpoint is shutting down
   * @param pauseMillis how long the endpoint accepts no requests from this instance; 0 if it does
   * @param rateLimit how many requests the endpoint accepts from all instances together
   */
  record AvailabilityNotice(boolean isLeaving, long pauseMillis, RateLimitNotice rateLimit) {}

  /** A request of the protocol itself, which carries no caller request. */
  @SuppressWarnings("ArrayRecordComponent") // Control requests are sent once and never compared.
  record ControlRequest(String method, String path, Map<String, String> headers, byte[] body) {}

  /** The decoded response to a reservation. */
  record Reservation(Kind kind, String id) {
    /** The outcome of a reservation. */
    public enum Kind {
      /** A slot and memory are reserved. */
      GRANTED,
      /** The endpoint has no free slot or memory. */
      FULL,
      /** The endpoint has no free slot or memory and closes the connection. */
      FULL_AND_CLOSING,
      /** The endpoint does not support reservations; requests are sent without one. */
      UNSUPPORTED
    }
  }
}
