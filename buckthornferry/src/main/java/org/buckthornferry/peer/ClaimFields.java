package org.buckthornferry.peer;

import java.io.IOException;
import org.buckthornferry.util.Checks;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * The identity, content and token that every claim message names.
 *
 * @param contentHashHigh the upper 64 bits of the content hash
 * @param contentHashLow the lower 64 bits of the content hash
 * @param holderId the instance that asked for the claim
 * @param holderIncarnation the incarnation of that instance's process
 * @param tokenNumber numbers the attempts of that process
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
  /** The longest customer name, idempotency key or identifier, in bytes of UTF-8. */
  public static final int MAX_NAME_BYTES = 512;

  /** Checks that the names are present. */
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
        PeerLimits.string(unpacker, MAX_NAME_BYTES),
        PeerLimits.string(unpacker, MAX_NAME_BYTES),
        unpacker.unpackLong(),
        unpacker.unpackLong(),
        unpacker.unpackBoolean(),
        PeerLimits.string(unpacker, MAX_NAME_BYTES),
        unpacker.unpackLong(),
        unpacker.unpackLong());
  }
}
