package org.buckthornferry.http;

import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;

/** Buffers a complete response in memory. */
final class CollectingListener implements HttpResponseListener {
  private final Predicate<HttpHeaders> isMatch;
  private final int maxBodyBytes;
  private final BooleanSupplier maySend;
  private final CompletableFuture<HttpReply> result = new CompletableFuture<>();
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private int status;
  private HttpHeaders headers = EmptyHttpHeaders.INSTANCE;

  /**
   * Creates a listener.
   *
   * @param isMatch whether a response with these header fields belongs to the request
   * @param maxBodyBytes the maximum body size; the request fails if the body exceeds it
   */
  CollectingListener(Predicate<HttpHeaders> isMatch, int maxBodyBytes) {
    this(isMatch, maxBodyBytes, () -> true);
  }

  /**
   * Creates a listener of a request that may become invalid before it is sent.
   *
   * @param maySend whether the request may still be sent; see {@link #maySend()}
   */
  CollectingListener(Predicate<HttpHeaders> isMatch, int maxBodyBytes, BooleanSupplier maySend) {
    this.isMatch = isMatch;
    this.maxBodyBytes = maxBodyBytes;
    this.maySend = maySend;
  }

  CompletableFuture<HttpReply> result() {
    return result;
  }

  @Override
  public boolean maySend() {
    return maySend.getAsBoolean();
  }

  @Override
  public boolean matchesRequest(int responseStatus, HttpHeaders responseHeaders) {
    return isMatch.test(responseHeaders);
  }

  @Override
  public void onHead(int newStatus, HttpHeaders newHeaders) {
    status = newStatus;
    headers = newHeaders;
  }

  @Override
  public void onBody(byte[] part) {
    if (body.size() + part.length > maxBodyBytes) {
      onFailure(new IOException("response exceeds " + maxBodyBytes + " bytes"), true);
      return;
    }
    body.writeBytes(part);
  }

  @Override
  public void onEnd() {
    result.complete(new HttpReply(status, headers, body.toByteArray()));
  }

  @Override
  public void onFailure(Throwable cause, boolean mayHaveReachedServer) {
    result.completeExceptionally(new HttpFailure(cause, mayHaveReachedServer));
  }
}
