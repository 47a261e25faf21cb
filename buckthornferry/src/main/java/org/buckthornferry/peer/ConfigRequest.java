package org.buckthornferry.peer;

import java.io.IOException;
import org.buckthornferry.util.Checks;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * States which configuration revision the sender holds. A receiver that holds a lower one asks for
 * it; any other receiver replies with the revision that it holds.
 *
 * @param revision the revision that the sender holds
 * @param digest the digest of that revision; 0 for revision 0
 * @param bodyRequested whether a reply with a higher revision is to contain it
 * @param nonce repeated in the reply, so that a reply to an earlier process is recognized
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
        Fields.counter(unpacker),
        unpacker.unpackLong(),
        unpacker.unpackBoolean(),
        unpacker.unpackLong());
  }
}
