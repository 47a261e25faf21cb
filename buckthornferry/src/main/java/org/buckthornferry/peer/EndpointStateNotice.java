package org.buckthornferry.peer;

import java.io.IOException;
import org.buckthornferry.endpoint.EndpointState;
import org.buckthornferry.util.Checks;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * The state of an endpoint: a decision when sent by its shard owner, otherwise an observation.
 *
 * @param budgetConcurrent the fleet-wide limit of concurrent requests at the endpoint
 * @param fencingNumber the owner's fencing number, or 0 for an observation
 * @param sequence orders the notices of one fencing number
 */
public record EndpointStateNotice(
    String endpointId, EndpointState state, int budgetConcurrent, long fencingNumber, long sequence)
    implements PeerMessage {
  /** Validates the fields. */
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
        IdentifierCodec.unpackId(unpacker),
        IdentifierCodec.unpackEnum(unpacker, EndpointState.class),
        unpacker.unpackInt(),
        unpacker.unpackLong(),
        unpacker.unpackLong());
  }
}
