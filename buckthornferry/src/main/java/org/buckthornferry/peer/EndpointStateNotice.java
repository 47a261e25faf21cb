package org.buckthornferry.peer;

import java.io.IOException;
import org.buckthornferry.endpoint.EndpointState;
import org.buckthornferry.util.Checks;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * The state of an endpoint: from its shard owner as a decision, from others as an observation.
 *
 * @param budgetConcurrent the requests that the endpoint may run at once in the whole fleet
 * @param fencingNumber the owner's fencing number, or 0 for an observation
 * @param sequence orders the notices of one fencing number
 */
public record EndpointStateNotice(
    String endpointId, EndpointState state, int budgetConcurrent, long fencingNumber, long sequence)
    implements PeerMessage {
  /** Checks the values. */
  public EndpointStateNotice {
    Checks.notEmpty(endpointId, "endpointId");
    Checks.notNull(state, "state");
    Checks.notNegative(budgetConcurrent, "budgetConcurrent");
    Checks.notNegative(fencingNumber, "fencingNumber");
  }

  @Override
  public MessageType type() {
    return MessageType.ENDPOINT_STATE;
  }

  @Override
  public void encode(MessagePacker packer) throws IOException {
    packer.packString(endpointId).packString(state.name()).packInt(budgetConcurrent);
    packer.packLong(fencingNumber).packLong(sequence);
  }

  static EndpointStateNotice decode(MessageUnpacker unpacker) throws IOException {
    return new EndpointStateNotice(
        MessageLimits.unpackId(unpacker),
        MessageLimits.unpackEnum(unpacker, EndpointState.class),
        unpacker.unpackInt(),
        unpacker.unpackLong(),
        unpacker.unpackLong());
  }
}
