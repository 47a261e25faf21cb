package org.buckthornferry.peer;

import java.io.IOException;
import org.buckthornferry.util.Checks;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Spreads what the sender learned about a content hash, or reserves an endpoint for a suspect.
 *
 * @param contentHash the hash of the request content
 * @param endpointId the endpoint to isolate, or empty for notices about a hash alone
 * @param validMillis how long the notice holds, in milliseconds from its arrival
 * @param running in {@link Kind#ISOLATE_ACK}, the sender's requests that still run on the endpoint
 * @param session orders the isolations of one instance; 0 in notices about a hash alone
 */
public record QuarantineNotice(
    Kind kind, String contentHash, String endpointId, long validMillis, int running, long session)
    implements PeerMessage {
  /** What a notice says. The names are part of the encoding. */
  public enum Kind {
    /** The hash ran on an endpoint that crashed. */
    SUSPECT,
    /** The hash succeeded after it was suspect. */
    CLEARED,
    /** The hash crashed an endpoint on which it ran alone. */
    QUARANTINED,
    /** The endpoint is to run only the sender's request with this hash. */
    ISOLATE,
    /** The sender starts nothing on the endpoint until the isolation ends. */
    ISOLATE_ACK,
    /** The isolation of the endpoint is over. */
    ISOLATE_END
  }

  /** Checks the values. */
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
        MessageLimits.unpackEnum(unpacker, Kind.class),
        MessageLimits.unpackId(unpacker),
        MessageLimits.unpackId(unpacker),
        unpacker.unpackLong(),
        unpacker.unpackInt(),
        unpacker.unpackLong());
  }
}
