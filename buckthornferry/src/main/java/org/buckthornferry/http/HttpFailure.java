package org.buckthornferry.http;

/** A request of an {@link HttpConnector} failed. */
public final class HttpFailure extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final boolean bytesSent;

  HttpFailure(Throwable cause, boolean bytesSent) {
    super(cause.toString(), cause);
    this.bytesSent = bytesSent;
  }

  /** Returns whether any byte of the request may have reached the server. */
  public boolean bytesSent() {
    return bytesSent;
  }
}
