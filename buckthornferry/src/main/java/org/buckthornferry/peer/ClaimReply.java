package org.buckthornferry.peer;

import java.io.IOException;
import org.buckthornferry.util.Checks;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Answers a claim or acknowledges an update of a claim.
 *
 * @param holderIncarnation the incarnation in the token that is answered
 * @param tokenNumber the number in the token that is answered
 * @param instanceId for {@code RUNNING}: the instance that holds the claim; otherwise empty
 * @param endpointId for {@code RUNNING} and {@code RESUMED}: the endpoint, empty when not
 *     dispatched yet
 * @param streamable for {@code RUNNING}: whether the stream can be resumed at the endpoint
 * @param retryAfterMillis the delay before a repeat, in milliseconds; 0 when none is advised
 */
public record ClaimReply(
    long holderIncarnation,
    long tokenNumber,
    Kind kind,
    String instanceId,
    String endpointId,
    boolean streamable,
    ClaimResponse response,
    long retryAfterMillis)
    implements PeerMessage {
  /** What the owner decided. */
  public enum Kind {
    /** The token may dispatch the request. */
    GRANTED,
    /** Another token holds the claim. */
    RUNNING,
    /** The token holds the claim of an earlier token and resumes its stream. */
    RESUMED,
    /** The first response is carried. */
    ANSWERED,
    /** The request may have run. */
    UNKNOWN,
    /** The identity was used with other content. */
    KEY_REUSED,
    /** The identity is older than the claim window. */
    EXPIRED,
    /** The request did not run and was not claimed. */
    UNAVAILABLE,
    /** The receiver does not serve the shard; the sender asks the current owner. */
    NOT_OWNER,
    /** The owner knows the dispatch of the token. */
    DISPATCH_RECORDED,
    /** The owner knows how the token ended. */
    UPDATED
  }

  /** Checks that the fields are present. */
  public ClaimReply {
    Checks.notNull(kind, "kind");
    Checks.notNull(instanceId, "instanceId");
    Checks.notNull(endpointId, "endpointId");
    Checks.notNull(response, "response");
    Checks.notNegative(retryAfterMillis, "retryAfterMillis");
  }

  /** Returns a reply that carries neither a holder nor a response. */
  public static ClaimReply withoutResponse(ClaimFields claim, Kind kind, long retryAfterMillis) {
    return new ClaimReply(
        claim.holderIncarnation(),
        claim.tokenNumber(),
        kind,
        "",
        "",
        false,
        ClaimResponse.NONE,
        retryAfterMillis);
  }

  @Override
  public MessageType type() {
    return MessageType.CLAIM_REPLY;
  }

  @Override
  public void encode(MessagePacker packer) throws IOException {
    packer.packLong(holderIncarnation).packLong(tokenNumber).packString(kind.name());
    packer.packString(instanceId).packString(endpointId).packBoolean(streamable);
    response.encode(packer);
    packer.packLong(retryAfterMillis);
  }

  static ClaimReply decode(MessageUnpacker unpacker) throws IOException {
    return new ClaimReply(
        unpacker.unpackLong(),
        unpacker.unpackLong(),
        PeerLimits.constant(unpacker, Kind.class),
        PeerLimits.string(unpacker, ClaimFields.MAX_NAME_BYTES),
        PeerLimits.string(unpacker, ClaimFields.MAX_NAME_BYTES),
        unpacker.unpackBoolean(),
        ClaimResponse.decode(unpacker),
        unpacker.unpackLong());
  }
}
