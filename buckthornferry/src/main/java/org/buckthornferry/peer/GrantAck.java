package org.buckthornferry.peer;

import java.io.IOException;
import org.buckthornferry.util.Checks;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Acknowledges smaller grants at once, so that their owner can give the rest away. */
public record GrantAck(HolderReport report) implements PeerMessage {
  /** Checks that the report is present. */
  public GrantAck {
    Checks.notNull(report, "report");
  }

  @Override
  public MessageType type() {
    return MessageType.GRANT_ACK;
  }

  @Override
  public void encode(MessagePacker packer) throws IOException {
    report.encode(packer);
  }

  static GrantAck decode(MessageUnpacker unpacker) throws IOException {
    return new GrantAck(HolderReport.decode(unpacker));
  }
}
