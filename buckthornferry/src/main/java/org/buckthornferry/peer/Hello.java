package org.buckthornferry.peer;

import java.io.IOException;
import org.buckthornferry.util.Checks;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * The first message on every connection; identifies the sender.
 *
 * @param incarnation the start time of the sender's process, in milliseconds since the epoch
 */
public record Hello(String instanceId, long incarnation, String failureDomain)
    implements PeerMessage {
  /** Checks that the identifiers are not empty. */
  public Hello {
    Checks.notEmpty(instanceId, "instanceId");
    Checks.notEmpty(failureDomain, "failureDomain");
  }

  @Override
  public MessageType type() {
    return MessageType.HELLO;
  }

  @Override
  public void encode(MessagePacker packer) throws IOException {
    packer.packString(instanceId).packLong(incarnation).packString(failureDomain);
  }

  static Hello decode(MessageUnpacker unpacker) throws IOException {
    return new Hello(
        FieldCodec.unpackName(unpacker),
        FieldCodec.unpackCounter(unpacker),
        FieldCodec.unpackName(unpacker));
  }
}
