package org.buckthornferry.peer;

import java.io.IOException;
import org.buckthornferry.util.Checks;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Requests a claim from the owner of its shard; resent with the same token until answered. */
public record ClaimRequest(ClaimFields claim) implements PeerMessage {
  /** Checks that the claim is not null. */
  public ClaimRequest {
    Checks.notNull(claim, "claim");
  }

  @Override
  public MessageType type() {
    return MessageType.CLAIM;
  }

  @Override
  public void encode(MessagePacker packer) throws IOException {
    claim.encode(packer);
  }

  static ClaimRequest decode(MessageUnpacker unpacker) throws IOException {
    return new ClaimRequest(ClaimFields.decode(unpacker));
  }
}
