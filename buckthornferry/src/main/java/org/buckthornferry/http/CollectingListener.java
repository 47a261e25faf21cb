package org.buckthornferry.http;

import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;

/** Collects a whole response in memory. */
final class CollectingListener implements HttpResponseListener {
  private final Predicate<HttpHeaders> isOwn;
  private final int maxBodyBytes;
  private final CompletableFuture<HttpReply> result = new CompletableFuture<>();
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private int status;
  private HttpHeaders headers = EmptyHttpHeaders.INSTANCE;

  /**
   * Creates a listener.
   *
   * @param isOwn whether a response with these header fields answers the request
   * @param maxBodyBytes the largest body; the request fails when more arrives
   */
  CollectingListener(Predicate<HttpHeaders> isOwn, int maxBodyBytes) {
    this.isOwn = isOwn;
    this.maxBodyBytes = maxBodyBytes;
  }

  CompletableFuture<HttpReply> result() {
    return result;
  }

  @Override
  public boolean isOwnResponse(int responseStatus, HttpHeaders responseHeaders) {
    return isOwn.test(responseHeaders);
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
