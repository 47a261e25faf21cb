package org.buckthornferry.request;

import org.buckthornferry.peer.ClaimResponse;
import org.buckthornferry.util.Checks;

/**
 * A complete response that is stored to answer retries of its request.
 *
 * @param status the HTTP status, 100 to 599
 * @param body the complete body; must not be modified
 */
@SuppressWarnings("ArrayRecordComponent") // The body is never modified; equals compares contents.
public record StoredResponse(int status, String contentType, byte[] body) {
  /** The largest body that is written to the journal for a non-idempotent request, in bytes. */
  public static final int MAX_JOURNALLED_BYTES = 4 << 10;

  /** The largest body that is kept in memory, in bytes. */
  public static final int MAX_KEPT_BYTES = ClaimResponse.MAX_BODY_BYTES;

  /** Validates the status and that the fields are present. */
  public StoredResponse {
    Checks.check(status >= 100 && status < 600, "status must be between 100 and 599");
    Checks.notNull(contentType, "contentType");
    Checks.notNull(body, "body");
  }

  /**
   * Returns the response as a message field, or {@link ClaimResponse#NONE} when the body or the
   * content type is too large.
   */
  ClaimResponse toMessage() {
    return body.length <= MAX_KEPT_BYTES && contentType.length() <= RequestIdentity.MAX_LENGTH
        ? new ClaimResponse(status, contentType, body)
        : ClaimResponse.NONE;
  }

  static StoredResponse ofMessage(ClaimResponse response) {
    return new StoredResponse(response.status(), response.contentType(), response.body());
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof StoredResponse that
        && status == that.status
        && contentType.equals(that.contentType)
        && java.util.Arrays.equals(body, that.body);
  }

  @Override
  public int hashCode() {
    return 31 * (31 * status + contentType.hashCode()) + java.util.Arrays.hashCode(body);
  }

  @Override
  public String toString() {
    return "StoredResponse[status=" + status + ", bodyBytes=" + body.length + "]";
  }
}
