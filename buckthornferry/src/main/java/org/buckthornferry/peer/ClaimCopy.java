package org.buckthornferry.peer;

import java.io.IOException;
import org.buckthornferry.util.Checks;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * The state of one claim at one moment, as journalled and as held by backups. Among copies of the
 * same identity the one with the highest fencing number, then the highest sequence, is the newest.
 *
 * @param fencingNumber the fencing number with which the owner held the shard
 * @param sequence grows with every copy made by the same process
 * @param stateCode the number of the claim state
 */
public record ClaimCopy(
    int shard,
    long fencingNumber,
    long sequence,
    ClaimFields claim,
    int stateCode,
    String endpointId,
    ClaimResponse response) {
  /** Checks that the fields are present. */
  public ClaimCopy {
    Checks.notNegative(shard, "shard");
    Checks.notNull(claim, "claim");
    Checks.notNegative(stateCode, "stateCode");
    Checks.notNull(endpointId, "endpointId");
    Checks.notNull(response, "response");
  }

  /** Returns whether this copy was made after {@code other}, a copy of the same identity. */
  public boolean isNewerThan(ClaimCopy other) {
    return fencingNumber != other.fencingNumber
        ? fencingNumber > other.fencingNumber
        : sequence > other.sequence;
  }

  /** Writes the fields in their order. */
  public void encode(MessagePacker packer) throws IOException {
    packer.packInt(shard).packLong(fencingNumber).packLong(sequence);
    claim.encode(packer);
    packer.packInt(stateCode).packString(endpointId);
    response.encode(packer);
  }

  /**
   * Reads the fields in their order.
   *
   * @throws PeerProtocolException when a field exceeds its bound
   */
  public static ClaimCopy decode(MessageUnpacker unpacker) throws IOException {
    return new ClaimCopy(
        unpacker.unpackInt(),
        unpacker.unpackLong(),
        unpacker.unpackLong(),
        ClaimFields.decode(unpacker),
        unpacker.unpackInt(),
        PeerLimits.string(unpacker, ClaimFields.MAX_NAME_BYTES),
        ClaimResponse.decode(unpacker));
  }
}
