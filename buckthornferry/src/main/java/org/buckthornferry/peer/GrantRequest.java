package org.buckthornferry.peer;

import java.io.IOException;
import org.buckthornferry.util.Checks;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Requests that the owner of some shards renews and adjusts the sender's grants. */
public record GrantRequest(HolderReport report) implements PeerMessage {
  /** Checks that the report is not null. */
  public GrantRequest {
    Checks.notNull(report, "report");
  }

  @Override
  public MessageType type() {
    return MessageType.GRANT_REQUEST;
  }

  @Override
  public void encode(MessagePacker packer) throws IOException {
    report.encode(packer);
  }

  static GrantRequest decode(MessageUnpacker unpacker) throws IOException {
    return new GrantRequest(HolderReport.decode(unpacker));
  }
}
