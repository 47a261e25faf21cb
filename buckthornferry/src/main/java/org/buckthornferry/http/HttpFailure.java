package org.buckthornferry.http;

/** Thrown when a request of an {@link HttpConnector} fails. */
public final class HttpFailure extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final boolean mayHaveReachedServer;

  HttpFailure(Throwable cause, boolean mayHaveReachedServer) {
    super(cause.toString(), cause);
    this.mayHaveReachedServer = mayHaveReachedServer;
  }

  /** Returns whether any byte of the request may have reached the server. */
  public boolean mayHaveReachedServer() {
    return mayHaveReachedServer;
  }
}
