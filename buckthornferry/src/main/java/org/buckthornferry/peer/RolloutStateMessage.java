package org.buckthornferry.peer;

import java.io.IOException;
import org.buckthornferry.util.Checks;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * The state of a version move as its leader or another instance knows it.
 *
 * @param phase the name of the phase
 * @param maxRunning the requests of the new version that may run at once over the fleet
 */
public record RolloutStateMessage(
    String serviceId,
    String moveId,
    String phase,
    long sequence,
    int step,
    boolean stepPassed,
    String reason,
    int maxRunning)
    implements PeerMessage {
  /** Checks that the identifiers are present and the numbers are not negative. */
  public RolloutStateMessage {
    Checks.notEmpty(serviceId, "serviceId");
    Checks.notEmpty(moveId, "moveId");
    Checks.notEmpty(phase, "phase");
    Checks.notNegative(sequence, "sequence");
    Checks.notNegative(step, "step");
    Checks.notNull(reason, "reason");
    Checks.notNegative(maxRunning, "maxRunning");
  }

  @Override
  public MessageType type() {
    return MessageType.ROLLOUT_STATE;
  }

  @Override
  public void encode(MessagePacker packer) throws IOException {
    packer
        .packString(serviceId)
        .packString(moveId)
        .packString(phase)
        .packLong(sequence)
        .packInt(step)
        .packBoolean(stepPassed)
        .packString(reason)
        .packInt(maxRunning);
  }

  static RolloutStateMessage decode(MessageUnpacker unpacker) throws IOException {
    return new RolloutStateMessage(
        unpacker.unpackString(),
        unpacker.unpackString(),
        unpacker.unpackString(),
        unpacker.unpackLong(),
        unpacker.unpackInt(),
        unpacker.unpackBoolean(),
        unpacker.unpackString(),
        unpacker.unpackInt());
  }
}
