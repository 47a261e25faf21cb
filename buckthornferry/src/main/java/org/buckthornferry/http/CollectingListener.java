package org.buckthornferry.http;

import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;

/** Collects a whole response in memory. */
final class CollectingListener implements HttpResponseListener {
  /** Responses of the platform are bounded by the largest value plus its encoding. */
  private static final int MAX_BODY_BYTES = 64 << 20;

  private final CompletableFuture<HttpReply> result = new CompletableFuture<>();
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private int status;
  private HttpHeaders headers = EmptyHttpHeaders.INSTANCE;

  CompletableFuture<HttpReply> result() {
    return result;
  }

  @Override
  public void onHead(int newStatus, HttpHeaders newHeaders) {
    status = newStatus;
    headers = newHeaders;
  }

  @Override
  public void onBody(byte[] part) {
    if (body.size() + part.length > MAX_BODY_BYTES) {
      onFailure(new IOException("response exceeds " + MAX_BODY_BYTES + " bytes"), true);
      return;
    }
    body.writeBytes(part);
  }

  @Override
  public void onEnd() {
    result.complete(new HttpReply(status, headers, body.toByteArray()));
  }

  @Override
  public void onFailure(Throwable cause, boolean bytesSent) {
    result.completeExceptionally(new HttpFailure(cause, bytesSent));
  }
}
