package org.buckthornferry.peer;

import java.io.IOException;
import org.buckthornferry.util.Checks;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * The state of a rollout as known to its leader or to another instance.
 *
 * @param phase the name of the phase
 * @param maxRunning the fleet-wide limit of concurrent requests at the new version
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
  /** Validates the fields. */
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
