package org.buckthornferry.peer;

import java.io.IOException;
import org.buckthornferry.util.Checks;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * An observation whether a member reached the key-value service. More compact than a {@link
 * MemberEntry}, because observations are gossiped several times per second while the service is
 * down.
 *
 * @param memberHash the ring hash of the member's id
 * @param ageMillis the age of the observation when the message was sent
 */
public record StoreObservation(int memberHash, boolean reachable, int ageMillis) {
  /** Checks that the age is in range. */
  public StoreObservation {
    Checks.check(
        ageMillis >= 0 && ageMillis <= MemberEntry.MAX_AGE_MILLIS, "ageMillis is out of range");
  }

  void encode(MessagePacker packer) throws IOException {
    packer.packInt(memberHash).packInt(ageMillis * 2 + (reachable ? 1 : 0));
  }

  static StoreObservation decode(MessageUnpacker unpacker) throws IOException {
    int memberHash = unpacker.unpackInt();
    int ageAndFlag = FieldCodec.unpackCount(unpacker, MemberEntry.MAX_AGE_MILLIS * 2 + 1);
    return new StoreObservation(memberHash, ageAndFlag % 2 == 1, ageAndFlag / 2);
  }
}
