package org.buckthornferry.peer;

import java.io.IOException;
import org.buckthornferry.util.Checks;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Asks the owner of some shards to extend and adjust the sender's grants. */
public record GrantRequest(HolderReport report) implements PeerMessage {
  /** Checks that the report is present. */
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
