package org.buckthornferry.http;

/** A request in progress of an {@link HttpConnector}. */
public interface HttpCall {
  /** A call that was never made. */
  HttpCall NONE =
      new HttpCall() {
        @Override
        public void cancel() {}

        @Override
        public void setReading(boolean reading) {}

        @Override
        public String connectionLabel() {
          return "-";
        }
      };

  /** Cancels the request and closes its connection; the listener is not called again. */
  void cancel();

  /** Pauses or resumes reading the response, for back-pressure. */
  void setReading(boolean reading);

  /**
   * Returns on which connection the request was sent, for logs: the local port and the number of
   * the request on the connection, or {@code -} if it has not been sent.
   */
  String connectionLabel();
}
