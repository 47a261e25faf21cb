package org.buckthornferry.peer;

import java.io.IOException;
import org.buckthornferry.util.Checks;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Announces the configuration revision that the sender holds. A receiver with a lower revision
 * requests it; any other receiver replies with the revision that it holds.
 *
 * @param revision the revision that the sender holds
 * @param digest the digest of that revision; 0 for revision 0
 * @param bodyRequested whether a reply with a higher revision must contain its body
 * @param nonce echoed in the reply, so that replies to an earlier process are detected
 */
public record ConfigRequest(long revision, long digest, boolean bodyRequested, long nonce)
    implements PeerMessage {
  /** Checks that the revision is not negative. */
  public ConfigRequest {
    Checks.notNegative(revision, "revision");
  }

  @Override
  public MessageType type() {
    return MessageType.CONFIG_REQUEST;
  }

  @Override
  public void encode(MessagePacker packer) throws IOException {
    packer.packLong(revision).packLong(digest).packBoolean(bodyRequested).packLong(nonce);
  }

  static ConfigRequest decode(MessageUnpacker unpacker) throws IOException {
    return new ConfigRequest(
        FieldCodec.unpackCounter(unpacker),
        unpacker.unpackLong(),
        unpacker.unpackBoolean(),
        unpacker.unpackLong());
  }
}
