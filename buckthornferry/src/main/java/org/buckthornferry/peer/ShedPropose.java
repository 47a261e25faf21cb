package org.buckthornferry.peer;

import java.io.IOException;
import java.util.List;
import org.buckthornferry.admission.ShedLevel;
import org.buckthornferry.util.Checks;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Proposes a shed level in the name of the sender.
 *
 * @param incarnation the incarnation of the sender
 * @param epoch orders the proposals of one incarnation
 * @param joining whether the sender does not serve yet and asks for the receiver's own proposal
 * @param answersEpoch the epoch of the joining proposal that this one answers, or 0
 * @param participants in an answer, the instances that the sender counts as serving
 */
public record ShedPropose(
    String serviceId,
    ShedLevel level,
    long incarnation,
    long epoch,
    boolean joining,
    long answersEpoch,
    List<String> participants)
    implements PeerMessage {
  /** Checks the values and copies the list. */
  public ShedPropose {
    Checks.notEmpty(serviceId, "serviceId");
    Checks.notNull(level, "level");
    Checks.positive(epoch, "epoch");
    Checks.notNegative(answersEpoch, "answersEpoch");
    participants = List.copyOf(participants);
  }

  @Override
  public MessageType type() {
    return MessageType.SHED_PROPOSE;
  }

  @Override
  public void encode(MessagePacker packer) throws IOException {
    packer.packString(serviceId).packString(level.name()).packLong(incarnation).packLong(epoch);
    packer.packBoolean(joining).packLong(answersEpoch);
    MessageLimits.packIds(packer, participants);
  }

  static ShedPropose decode(MessageUnpacker unpacker) throws IOException {
    return new ShedPropose(
        MessageLimits.unpackId(unpacker),
        MessageLimits.unpackEnum(unpacker, ShedLevel.class),
        unpacker.unpackLong(),
        unpacker.unpackLong(),
        unpacker.unpackBoolean(),
        unpacker.unpackLong(),
        MessageLimits.unpackIds(unpacker));
  }
}
