package org.buckthornferry.peer;

import java.io.IOException;
import org.buckthornferry.util.Checks;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Acknowledges reduced grants immediately, so that their owner can reassign the difference. */
public record GrantAck(HolderReport report) implements PeerMessage {
  /** Checks that the report is not null. */
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
