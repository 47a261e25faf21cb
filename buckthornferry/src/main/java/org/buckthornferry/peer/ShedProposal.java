package org.buckthornferry.peer;

import java.io.IOException;
import java.util.List;
import org.buckthornferry.admission.ShedLevel;
import org.buckthornferry.util.Checks;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Proposes a shed level for the sender, which sheds only by its own proposals.
 *
 * @param incarnation the incarnation of the sender
 * @param epoch orders the proposals of one incarnation
 * @param joining whether the sender does not serve yet and requests the receiver's proposal
 * @param answersEpoch the epoch of the joining proposal that this one answers, or 0
 * @param answersIncarnation the incarnation of the joining receiver that this proposal answers
 * @param acknowledged in an answer, the highest level that the sender acknowledged to any instance
 * @param participants in an answer, the instances that the sender counts as serving
 */
public record ShedProposal(
    String serviceId,
    ShedLevel level,
    long incarnation,
    long epoch,
    boolean joining,
    long answersEpoch,
    long answersIncarnation,
    ShedLevel acknowledged,
    List<String> participants)
    implements PeerMessage {
  /** Validates the fields and copies the list. */
  public ShedProposal {
    Checks.notEmpty(serviceId, "serviceId");
    Checks.notNull(level, "level");
    Checks.positive(epoch, "epoch");
    Checks.notNull(acknowledged, "acknowledged");
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
    packer
        .packBoolean(joining)
        .packLong(answersEpoch)
        .packLong(answersIncarnation)
        .packString(acknowledged.name());
    IdentifierCodec.packIds(packer, participants);
  }

  static ShedProposal decode(MessageUnpacker unpacker) throws IOException {
    return new ShedProposal(
        IdentifierCodec.unpackId(unpacker),
        IdentifierCodec.unpackEnum(unpacker, ShedLevel.class),
        unpacker.unpackLong(),
        unpacker.unpackLong(),
        unpacker.unpackBoolean(),
        unpacker.unpackLong(),
        unpacker.unpackLong(),
        IdentifierCodec.unpackEnum(unpacker, ShedLevel.class),
        IdentifierCodec.unpackIds(unpacker));
  }
}
