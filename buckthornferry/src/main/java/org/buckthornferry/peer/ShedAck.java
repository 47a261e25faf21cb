package org.buckthornferry.peer;

import java.io.IOException;
import java.util.List;
import org.buckthornferry.admission.ShedLevel;
import org.buckthornferry.util.Checks;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Acknowledges that the sender applies a shed level that the receiver proposed or lowered.
 *
 * @param incarnation the incarnation of the sender
 * @param proposerIncarnation the incarnation of the receiver that made the proposal
 * @param epoch the epoch of the proposal
 * @param participants the instances that the sender counts as serving
 */
public record ShedAck(
    String serviceId,
    ShedLevel level,
    long incarnation,
    long proposerIncarnation,
    long epoch,
    List<String> participants)
    implements PeerMessage {
  /** Validates the fields and copies the list. */
  public ShedAck {
    Checks.notEmpty(serviceId, "serviceId");
    Checks.notNull(level, "level");
    Checks.positive(epoch, "epoch");
    participants = List.copyOf(participants);
  }

  @Override
  public MessageType type() {
    return MessageType.SHED_ACK;
  }

  @Override
  public void encode(MessagePacker packer) throws IOException {
    packer.packString(serviceId).packString(level.name()).packLong(incarnation);
    packer.packLong(proposerIncarnation).packLong(epoch);
    IdentifierCodec.packIds(packer, participants);
  }

  static ShedAck decode(MessageUnpacker unpacker) throws IOException {
    return new ShedAck(
        IdentifierCodec.unpackId(unpacker),
        IdentifierCodec.unpackEnum(unpacker, ShedLevel.class),
        unpacker.unpackLong(),
        unpacker.unpackLong(),
        unpacker.unpackLong(),
        IdentifierCodec.unpackIds(unpacker));
  }
}
