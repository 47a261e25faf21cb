package org.buckthornferry.peer;

import java.io.IOException;
import org.buckthornferry.admission.ShedLevel;
import org.buckthornferry.util.Checks;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Lowers the shed level that the sender proposed earlier.
 *
 * @param incarnation the incarnation of the sender
 * @param epoch orders the proposals of one incarnation
 */
public record ShedLevelReduction(String serviceId, ShedLevel level, long incarnation, long epoch)
    implements PeerMessage {
  /** Validates the fields. */
  public ShedLevelReduction {
    Checks.notEmpty(serviceId, "serviceId");
    Checks.notNull(level, "level");
    Checks.positive(epoch, "epoch");
  }

  @Override
  public MessageType type() {
    return MessageType.SHED_LOWER;
  }

  @Override
  public void encode(MessagePacker packer) throws IOException {
    packer.packString(serviceId).packString(level.name()).packLong(incarnation).packLong(epoch);
  }

  static ShedLevelReduction decode(MessageUnpacker unpacker) throws IOException {
    return new ShedLevelReduction(
        IdentifierCodec.unpackId(unpacker),
        IdentifierCodec.unpackEnum(unpacker, ShedLevel.class),
        unpacker.unpackLong(),
        unpacker.unpackLong());
  }
}
