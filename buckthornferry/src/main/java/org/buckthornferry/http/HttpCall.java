package org.buckthornferry.http;

/** A request in progress of an {@link HttpConnector}. */
public interface HttpCall {
  /** Cancels the request and closes its connection; the listener is not called again. */
  void cancel();

  /** Pauses or resumes reading the response, for back-pressure. */
  void setReading(boolean reading);
}
