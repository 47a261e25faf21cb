package org.buckthornferry.fleet;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.buckthornferry.rollout.CanaryTrial.Reading;
import org.buckthornferry.rollout.RolloutPhase;
import org.buckthornferry.rollout.RouteCounts;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** What instances tell the leader of a service's move, and what it replies. */
final class RolloutMessages {
  /** The most routes and versions in one message. */
  private static final int MAX_READINGS = 2_000;

  /**
   * What an instance has seen of a move.
   *
   * @param orderRevision names the move
   * @param source the instance with its incarnation
   * @param elapsedMillis since the instance has seen the order
   * @param hasFault whether the instance has stopped the new version by its own counts
   */
  record Report(
      String serviceName,
      long orderRevision,
      String source,
      long elapsedMillis,
      boolean hasFault,
      List<Reading> readings) {}

  private RolloutMessages() {}

  static byte[] encodeReport(Report report) {
    return Packing.pack(
        packer -> {
          packer
              .packString(report.serviceName)
              .packLong(report.orderRevision)
              .packString(report.source)
              .packLong(report.elapsedMillis)
              .packBoolean(report.hasFault)
              .packArrayHeader(report.readings.size());
          for (Reading reading : report.readings) {
            packer
                .packString(reading.route())
                .packBoolean(reading.isNewVersion())
                .packLong(reading.counts().ended())
                .packLong(reading.counts().failed())
                .packLong(reading.counts().slow());
          }
        });
  }

  static Report decodeReport(byte[] message) throws IOException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(message)) {
      String serviceName = Packing.text(unpacker);
      long orderRevision = unpacker.unpackLong();
      String source = Packing.text(unpacker);
      long elapsedMillis = unpacker.unpackLong();
      boolean hasFault = unpacker.unpackBoolean();
      int size = unpacker.unpackArrayHeader();
      if (size > MAX_READINGS) {
        throw new IOException(size + " readings");
      }
      List<Reading> readings = new ArrayList<>();
      for (int i = 0; i < size; i++) {
        readings.add(
            new Reading(
                Packing.text(unpacker),
                unpacker.unpackBoolean(),
                new RouteCounts(
                    unpacker.unpackLong(), unpacker.unpackLong(), unpacker.unpackLong())));
      }
      return new Report(
          serviceName, orderRevision, source, elapsedMillis, hasFault, List.copyOf(readings));
    } catch (IllegalArgumentException e) {
      throw new IOException(e.getMessage(), e);
    }
  }

  /** Encodes the phase of a move as its leader sees it. */
  static byte[] encodePhase(RolloutPhase phase) {
    return Packing.pack(packer -> packer.packString(phase.name()));
  }

  static RolloutPhase decodePhase(byte[] message) throws IOException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(message)) {
      return RolloutPhase.valueOf(Packing.text(unpacker));
    } catch (IllegalArgumentException e) {
      throw new IOException(e.getMessage(), e);
    }
  }
}
