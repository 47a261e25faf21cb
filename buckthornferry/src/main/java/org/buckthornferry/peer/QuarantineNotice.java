package org.buckthornferry.peer;

import java.io.IOException;
import org.buckthornferry.util.Checks;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Shares the sender's verdict on a content hash, or isolates an endpoint for a suspect request.
 *
 * @param contentHash the hash of the request content
 * @param endpointId the endpoint to isolate, or empty in notices about a hash only
 * @param validMillis the validity of the notice, in milliseconds from its arrival
 * @param running in {@link Kind#ISOLATE_ACK}, the sender's requests that still run on the endpoint
 * @param session orders the isolations of one instance; 0 in notices about a hash only
 */
public record QuarantineNotice(
    Kind kind, String contentHash, String endpointId, long validMillis, int running, long session)
    implements PeerMessage {
  /** The meaning of a notice. The names are part of the encoding. */
  public enum Kind {
    /** A request with the hash ran on an endpoint that crashed. */
    SUSPECT,
    /** A request with the suspected hash succeeded. */
    CLEARED,
    /** A request with the hash crashed an endpoint on which it ran alone. */
    QUARANTINED,
    /** The endpoint must run only the sender's request with this hash. */
    ISOLATE,
    /** The sender starts nothing on the endpoint until the isolation ends. */
    ISOLATE_ACK,
    /** The isolation of the endpoint has ended. */
    ISOLATE_END
  }

  /** Validates the fields. */
  public QuarantineNotice {
    Checks.notNull(kind, "kind");
    Checks.notEmpty(contentHash, "contentHash");
    Checks.notNull(endpointId, "endpointId");
    Checks.notNegative(validMillis, "validMillis");
    Checks.notNegative(running, "running");
  }

  @Override
  public MessageType type() {
    return MessageType.QUARANTINE;
  }

  @Override
  public void encode(MessagePacker packer) throws IOException {
    packer.packString(kind.name()).packString(contentHash).packString(endpointId);
    packer.packLong(validMillis).packInt(running).packLong(session);
  }

  static QuarantineNotice decode(MessageUnpacker unpacker) throws IOException {
    return new QuarantineNotice(
        IdentifierCodec.unpackEnum(unpacker, Kind.class),
        IdentifierCodec.unpackId(unpacker),
        IdentifierCodec.unpackId(unpacker),
        unpacker.unpackLong(),
        unpacker.unpackInt(),
        unpacker.unpackLong());
  }
}
