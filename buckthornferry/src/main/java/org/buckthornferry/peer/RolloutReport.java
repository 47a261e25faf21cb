package org.buckthornferry.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.buckthornferry.util.Checks;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Cumulative counters of one instance about a version move, for the leader of the move. Counters
 * only grow while the incarnation stays the same, so reports may be lost, doubled or reordered.
 */
public record RolloutReport(
    String serviceId, String moveId, long incarnation, List<RouteReading> readings)
    implements PeerMessage {
  private static final int MAX_READINGS = 1_024;

  /**
   * The counters of one route and version.
   *
   * @param newVersion whether the counters are of the version that is moved to
   */
  public record RouteReading(
      String route, boolean newVersion, long ended, long failed, long slow) {}

  /** Copies the readings. */
  public RolloutReport {
    Checks.notEmpty(serviceId, "serviceId");
    Checks.notEmpty(moveId, "moveId");
    readings = List.copyOf(readings);
    Checks.check(readings.size() <= MAX_READINGS, "too many readings");
  }

  @Override
  public MessageType type() {
    return MessageType.ROLLOUT_REPORT;
  }

  @Override
  public void encode(MessagePacker packer) throws IOException {
    packer.packString(serviceId).packString(moveId).packLong(incarnation);
    packer.packArrayHeader(readings.size());
    for (RouteReading reading : readings) {
      packer
          .packString(reading.route)
          .packBoolean(reading.newVersion)
          .packLong(reading.ended)
          .packLong(reading.failed)
          .packLong(reading.slow);
    }
  }

  static RolloutReport decode(MessageUnpacker unpacker) throws IOException {
    String serviceId = unpacker.unpackString();
    String moveId = unpacker.unpackString();
    long incarnation = unpacker.unpackLong();
    int count = unpacker.unpackArrayHeader();
    Checks.check(count <= MAX_READINGS, "too many readings");
    List<RouteReading> readings = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      readings.add(
          new RouteReading(
              unpacker.unpackString(),
              unpacker.unpackBoolean(),
              unpacker.unpackLong(),
              unpacker.unpackLong(),
              unpacker.unpackLong()));
    }
    return new RolloutReport(serviceId, moveId, incarnation, readings);
  }
}
