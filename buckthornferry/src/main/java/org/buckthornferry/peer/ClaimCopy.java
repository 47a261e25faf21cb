package org.buckthornferry.peer;

import java.io.IOException;
import org.buckthornferry.util.Checks;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * A snapshot of one claim, as written to the journal and held by backups. Of several copies with
 * the same identity the newest has the highest fencing number and, among those, the highest
 * sequence.
 *
 * @param fencingNumber the fencing number under which the owner held the shard
 * @param sequence increases with every copy made by the same process
 * @param stateCode the code of the claim state
 */
public record ClaimCopy(
    int shard,
    long fencingNumber,
    long sequence,
    ClaimFields claim,
    int stateCode,
    String endpointId,
    ClaimResponse response) {
  /** Validates the fields. */
  public ClaimCopy {
    Checks.notNegative(shard, "shard");
    Checks.notNull(claim, "claim");
    Checks.notNegative(stateCode, "stateCode");
    Checks.notNull(endpointId, "endpointId");
    Checks.notNull(response, "response");
  }

  /** Returns whether this copy is newer than {@code other}, a copy with the same identity. */
  public boolean isNewerThan(ClaimCopy other) {
    return fencingNumber != other.fencingNumber
        ? fencingNumber > other.fencingNumber
        : sequence > other.sequence;
  }

  /** Writes the fields in wire order. */
  public void encode(MessagePacker packer) throws IOException {
    packer.packInt(shard).packLong(fencingNumber).packLong(sequence);
    claim.encode(packer);
    packer.packInt(stateCode).packString(endpointId);
    response.encode(packer);
  }

  /**
   * Reads the fields in wire order.
   *
   * @throws PeerProtocolException when a field exceeds its size limit
   */
  public static ClaimCopy decode(MessageUnpacker unpacker) throws IOException {
    return new ClaimCopy(
        unpacker.unpackInt(),
        unpacker.unpackLong(),
        unpacker.unpackLong(),
        ClaimFields.decode(unpacker),
        unpacker.unpackInt(),
        BoundedDecoder.unpackString(unpacker, ClaimFields.MAX_NAME_BYTES),
        ClaimResponse.decode(unpacker));
  }
}
