package org.buckthornferry.peer;

import java.io.IOException;
import java.util.Arrays;
import org.buckthornferry.util.Checks;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Replies with the configuration revision that the sender holds.
 *
 * @param revision the revision that the sender holds
 * @param digest the digest of that revision; 0 for revision 0
 * @param ready whether the sender has completed its startup; only ready senders count towards a
 *     majority
 * @param nonce the nonce of the request
 * @param body the encoded revision, or empty when the requester already holds it
 */
@SuppressWarnings("ArrayRecordComponent") // Never modified; equals compares the bytes.
public record ConfigReply(long revision, long digest, boolean ready, long nonce, byte[] body)
    implements PeerMessage {
  /** The largest body, in bytes; leaves room for the other fields of the frame. */
  public static final int MAX_BODY_BYTES = PeerCodec.MAX_CONFIG_FRAME_BYTES - 64;

  /** Validates the revision and the size of the body. */
  public ConfigReply {
    Checks.notNegative(revision, "revision");
    Checks.check(body.length <= MAX_BODY_BYTES, "body is too large");
  }

  @Override
  public MessageType type() {
    return MessageType.CONFIG_REPLY;
  }

  @Override
  public void encode(MessagePacker packer) throws IOException {
    packer.packLong(revision).packLong(digest).packBoolean(ready).packLong(nonce);
    packer.packBinaryHeader(body.length).writePayload(body);
  }

  static ConfigReply decode(MessageUnpacker unpacker) throws IOException {
    return new ConfigReply(
        FieldCodec.unpackCounter(unpacker),
        unpacker.unpackLong(),
        unpacker.unpackBoolean(),
        unpacker.unpackLong(),
        FieldCodec.unpackBytes(unpacker, MAX_BODY_BYTES));
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof ConfigReply that
        && revision == that.revision
        && digest == that.digest
        && ready == that.ready
        && nonce == that.nonce
        && Arrays.equals(body, that.body);
  }

  @Override
  public int hashCode() {
    return Long.hashCode(revision) * 31 + Arrays.hashCode(body);
  }

  @Override
  public String toString() {
    return "ConfigReply[revision=" + revision + ", bodyBytes=" + body.length + "]";
  }
}
