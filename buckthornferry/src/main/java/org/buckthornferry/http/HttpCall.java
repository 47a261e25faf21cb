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
      };

  /** Cancels the request and closes its connection; the listener is not called again. */
  void cancel();

  /** Pauses or resumes reading the response, for back-pressure. */
  void setReading(boolean reading);
}
