package org.buckthornferry.peer;

import java.io.IOException;
import org.buckthornferry.util.Checks;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Tells the owner what became of a claim; repeated until acknowledged.
 *
 * @param endpointId the endpoint of the dispatch, or empty when there was none
 */
public record ClaimUpdate(ClaimFields claim, Kind kind, String endpointId, ClaimResponse response)
    implements PeerMessage {
  /** What became of the claim. A token sends at most one of the last three kinds. */
  public enum Kind {
    /** Bytes of the request are being sent to the endpoint. */
    DISPATCHED,
    /** The endpoint's whole response is known. */
    ANSWERED,
    /** The request certainly did not run and the token will not be used. */
    RELEASED,
    /** The request ran or may have run, without a whole response. */
    FAILED
  }

  /** Checks that the fields are present. */
  public ClaimUpdate {
    Checks.notNull(claim, "claim");
    Checks.notNull(kind, "kind");
    Checks.notNull(endpointId, "endpointId");
    Checks.notNull(response, "response");
  }

  @Override
  public MessageType type() {
    return MessageType.CLAIM_UPDATE;
  }

  @Override
  public void encode(MessagePacker packer) throws IOException {
    claim.encode(packer);
    packer.packString(kind.name()).packString(endpointId);
    response.encode(packer);
  }

  static ClaimUpdate decode(MessageUnpacker unpacker) throws IOException {
    return new ClaimUpdate(
        ClaimFields.decode(unpacker),
        PeerLimits.constant(unpacker, Kind.class),
        PeerLimits.string(unpacker, ClaimFields.MAX_NAME_BYTES),
        ClaimResponse.decode(unpacker));
  }
}
