package org.buckthornferry.peer;

import java.io.IOException;
import org.buckthornferry.util.Checks;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * The common fields of claim messages: the identity, the content hash and the token.
 *
 * @param contentHashHigh the upper 64 bits of the content hash
 * @param contentHashLow the lower 64 bits of the content hash
 * @param holderId the instance that requested the claim
 * @param holderIncarnation the incarnation of that instance's process
 * @param tokenNumber the sequence number of the token within that process
 */
public record ClaimFields(
    String customer,
    String key,
    long contentHashHigh,
    long contentHashLow,
    boolean idempotent,
    String holderId,
    long holderIncarnation,
    long tokenNumber) {
  /** The largest size of a customer name, idempotency key or identifier, in bytes of UTF-8. */
  public static final int MAX_NAME_BYTES = 512;

  /** Checks that the strings are not empty. */
  public ClaimFields {
    Checks.notEmpty(customer, "customer");
    Checks.notEmpty(key, "key");
    Checks.notEmpty(holderId, "holderId");
  }

  void encode(MessagePacker packer) throws IOException {
    packer.packString(customer).packString(key).packLong(contentHashHigh).packLong(contentHashLow);
    packer.packBoolean(idempotent).packString(holderId);
    packer.packLong(holderIncarnation).packLong(tokenNumber);
  }

  static ClaimFields decode(MessageUnpacker unpacker) throws IOException {
    return new ClaimFields(
        BoundedDecoder.unpackString(unpacker, MAX_NAME_BYTES),
        BoundedDecoder.unpackString(unpacker, MAX_NAME_BYTES),
        unpacker.unpackLong(),
        unpacker.unpackLong(),
        unpacker.unpackBoolean(),
        BoundedDecoder.unpackString(unpacker, MAX_NAME_BYTES),
        unpacker.unpackLong(),
        unpacker.unpackLong());
  }
}
