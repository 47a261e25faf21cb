package org.buckthornferry.peer;

import java.io.IOException;
import org.buckthornferry.membership.MemberState;
import org.buckthornferry.util.Checks;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * The state of one member in the view of the sender.
 *
 * @param incarnation the start time of the member's process, in milliseconds since the epoch; 0
 *     when the member is known only from the instance list
 * @param refutations the number of suspicions that the member has refuted
 * @param storeReachable whether the member's last observed call reached the key-value service
 * @param storeAgeMillis the age of {@code storeReachable} when the message was sent, at most {@link
 *     #MAX_AGE_MILLIS}
 */
public record MemberEntry(
    String instanceId,
    String peerAddress,
    String failureDomain,
    String region,
    long incarnation,
    long refutations,
    MemberState state,
    boolean storeReachable,
    int storeAgeMillis) {
  /** The largest age on the wire, in milliseconds; older observations are sent with this age. */
  public static final int MAX_AGE_MILLIS = 65_535;

  private static final int MAX_STATE_CODE = 3;

  /** Checks that the identifiers are not empty and the numbers are in range. */
  public MemberEntry {
    Checks.notEmpty(instanceId, "instanceId");
    Checks.notEmpty(peerAddress, "peerAddress");
    Checks.notEmpty(failureDomain, "failureDomain");
    Checks.notEmpty(region, "region");
    Checks.notNegative(incarnation, "incarnation");
    Checks.notNegative(refutations, "refutations");
    Checks.notNull(state, "state");
    Checks.check(
        storeAgeMillis >= 0 && storeAgeMillis <= MAX_AGE_MILLIS, "storeAgeMillis is out of range");
  }

  void encode(MessagePacker packer) throws IOException {
    packer.packString(instanceId).packString(peerAddress);
    packer.packString(failureDomain).packString(region);
    packer.packLong(incarnation).packLong(refutations);
    packer.packInt(codeOf(state) * 2 + (storeReachable ? 1 : 0)).packInt(storeAgeMillis);
  }

  static MemberEntry decode(MessageUnpacker unpacker) throws IOException {
    String instanceId = FieldCodec.unpackName(unpacker);
    String peerAddress = FieldCodec.unpackName(unpacker);
    String failureDomain = FieldCodec.unpackName(unpacker);
    String region = FieldCodec.unpackName(unpacker);
    long incarnation = FieldCodec.unpackCounter(unpacker);
    long refutations = FieldCodec.unpackCounter(unpacker);
    int stateAndFlag = FieldCodec.unpackCount(unpacker, MAX_STATE_CODE * 2 + 1);
    int storeAgeMillis = FieldCodec.unpackCount(unpacker, MAX_AGE_MILLIS);
    return new MemberEntry(
        instanceId,
        peerAddress,
        failureDomain,
        region,
        incarnation,
        refutations,
        stateOf(stateAndFlag / 2),
        stateAndFlag % 2 == 1,
        storeAgeMillis);
  }

  private static int codeOf(MemberState state) {
    return switch (state) {
      case ALIVE -> 0;
      case SUSPECT -> 1;
      case LEAVING -> 2;
      case DEAD -> MAX_STATE_CODE;
    };
  }

  private static MemberState stateOf(int code) {
    return switch (code) {
      case 0 -> MemberState.ALIVE;
      case 1 -> MemberState.SUSPECT;
      case 2 -> MemberState.LEAVING;
      default -> MemberState.DEAD;
    };
  }
}
