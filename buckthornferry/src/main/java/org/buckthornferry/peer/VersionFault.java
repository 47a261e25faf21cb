package org.buckthornferry.peer;

import java.io.IOException;
import org.buckthornferry.util.Checks;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Reports a faulty version of a service; receivers stop using it immediately. */
public record VersionFault(String serviceId, String moveId, String reason) implements PeerMessage {
  /** Checks that the identifiers are not empty. */
  public VersionFault {
    Checks.notEmpty(serviceId, "serviceId");
    Checks.notEmpty(moveId, "moveId");
    Checks.notNull(reason, "reason");
  }

  @Override
  public MessageType type() {
    return MessageType.VERSION_FAULT;
  }

  @Override
  public void encode(MessagePacker packer) throws IOException {
    packer.packString(serviceId).packString(moveId).packString(reason);
  }

  static VersionFault decode(MessageUnpacker unpacker) throws IOException {
    return new VersionFault(
        unpacker.unpackString(), unpacker.unpackString(), unpacker.unpackString());
  }
}
