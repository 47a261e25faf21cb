package org.buckthornferry.peer;

import java.io.IOException;
import org.buckthornferry.util.Checks;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Reports the progress or outcome of a claimed request to the owner; resent until acknowledged.
 *
 * @param endpointId the endpoint that got the request, or empty without a dispatch
 */
public record ClaimUpdate(ClaimFields claim, Kind kind, String endpointId, ClaimResponse response)
    implements PeerMessage {
  /** The state of the request. A token sends at most one of the last three kinds. */
  public enum Kind {
    /** The request is being sent to the endpoint. */
    DISPATCHED,
    /** The complete response of the endpoint was received. */
    ANSWERED,
    /** The request is known not to have run, and the token will not be used. */
    RELEASED,
    /** The request ran or may have run, without a complete response. */
    FAILED
  }

  /** Checks that no field is null. */
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
        BoundedDecoder.unpackEnum(unpacker, Kind.class),
        BoundedDecoder.unpackString(unpacker, ClaimFields.MAX_NAME_BYTES),
        ClaimResponse.decode(unpacker));
  }
}
