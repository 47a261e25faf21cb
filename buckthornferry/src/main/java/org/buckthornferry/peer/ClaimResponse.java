package org.buckthornferry.peer;

import java.io.IOException;
import java.util.Arrays;
import org.buckthornferry.util.Checks;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * The HTTP response of a request, as stored in a claim message.
 *
 * @param status the HTTP status, or 0 when there is no response
 */
@SuppressWarnings("ArrayRecordComponent") // Never modified; equals compares the bytes.
public record ClaimResponse(int status, String contentType, byte[] body) {
  /** The largest body in a claim message, in bytes. */
  public static final int MAX_BODY_BYTES = 64 << 10;

  /** The absence of a response. */
  public static final ClaimResponse NONE = new ClaimResponse(0, "", new byte[0]);

  /** Validates the fields. */
  public ClaimResponse {
    Checks.notNegative(status, "status");
    Checks.notNull(contentType, "contentType");
    Checks.check(body.length <= MAX_BODY_BYTES, "body exceeds " + MAX_BODY_BYTES + " bytes");
  }

  /** Returns whether a response is present. */
  public boolean isPresent() {
    return status != 0;
  }

  void encode(MessagePacker packer) throws IOException {
    packer.packInt(status).packString(contentType);
    packer.packBinaryHeader(body.length).writePayload(body);
  }

  static ClaimResponse decode(MessageUnpacker unpacker) throws IOException {
    return new ClaimResponse(
        unpacker.unpackInt(),
        BoundedDecoder.unpackString(unpacker, ClaimFields.MAX_NAME_BYTES),
        BoundedDecoder.unpackBytes(unpacker, MAX_BODY_BYTES));
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof ClaimResponse that
        && status == that.status
        && contentType.equals(that.contentType)
        && Arrays.equals(body, that.body);
  }

  @Override
  public int hashCode() {
    return 31 * (31 * status + contentType.hashCode()) + Arrays.hashCode(body);
  }

  @Override
  public String toString() {
    return "ClaimResponse[status=" + status + ", bodyBytes=" + body.length + "]";
  }
}
