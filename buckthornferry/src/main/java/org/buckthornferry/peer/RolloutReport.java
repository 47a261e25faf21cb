package org.buckthornferry.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.buckthornferry.util.Checks;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Cumulative counters of one instance for a rollout, sent to its leader. Counters only increase
 * within one incarnation, so that lost, duplicate or reordered reports do no harm.
 */
public record RolloutReport(
    String serviceId, String moveId, long incarnation, List<RouteCounters> counters)
    implements PeerMessage {
  private static final int MAX_ROUTE_COUNTERS = 1_024;

  /**
   * The counters of one route and version.
   *
   * @param newVersion whether the counters belong to the version being rolled out
   */
  public record RouteCounters(
      String route, boolean newVersion, long ended, long failed, long slow) {}

  /** Validates the fields and copies the list. */
  public RolloutReport {
    Checks.notEmpty(serviceId, "serviceId");
    Checks.notEmpty(moveId, "moveId");
    counters = List.copyOf(counters);
    Checks.check(counters.size() <= MAX_ROUTE_COUNTERS, "too many counters");
  }

  @Override
  public MessageType type() {
    return MessageType.ROLLOUT_REPORT;
  }

  @Override
  public void encode(MessagePacker packer) throws IOException {
    packer.packString(serviceId).packString(moveId).packLong(incarnation);
    packer.packArrayHeader(counters.size());
    for (RouteCounters route : counters) {
      packer
          .packString(route.route)
          .packBoolean(route.newVersion)
          .packLong(route.ended)
          .packLong(route.failed)
          .packLong(route.slow);
    }
  }

  static RolloutReport decode(MessageUnpacker unpacker) throws IOException {
    String serviceId = unpacker.unpackString();
    String moveId = unpacker.unpackString();
    long incarnation = unpacker.unpackLong();
    int count = unpacker.unpackArrayHeader();
    Checks.check(count <= MAX_ROUTE_COUNTERS, "too many counters");
    List<RouteCounters> counters = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      counters.add(
          new RouteCounters(
              unpacker.unpackString(),
              unpacker.unpackBoolean(),
              unpacker.unpackLong(),
              unpacker.unpackLong(),
              unpacker.unpackLong()));
    }
    return new RolloutReport(serviceId, moveId, incarnation, counters);
  }
}
