package org.buckthornferry.http;

/** A request in progress. */
public interface HttpCall {
  /** Gives the request up and closes its connection; the listener hears nothing more. */
  void cancel();

  /** Stops or resumes to read the response, for back-pressure. */
  void setReading(boolean reading);
}
