package org.buckthornferry.fleet;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.buckthornferry.rollout.CanaryTrial.Reading;
import org.buckthornferry.rollout.RolloutPhase;
import org.buckthornferry.rollout.RouteCounts;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** Rollout reports that instances send to the leader of a rollout, and its replies. */
final class RolloutMessages {
  /** Maximum number of readings, one per route and version, in one message. */
  private static final int MAX_READINGS = 2_000;

  /**
   * Counts of an instance for one rollout.
   *
   * @param orderRevision store revision of the order, which identifies the rollout
   * @param processId the instance id with its incarnation
   * @param elapsedMillis time since the instance first saw the order
   * @param hasFault whether the instance has stopped using the new version
   */
  record Report(
      String serviceName,
      long orderRevision,
      String processId,
      long elapsedMillis,
      boolean hasFault,
      List<Reading> readings) {}

  private RolloutMessages() {}

  static byte[] encodeReport(Report report) {
    return MessageCodec.pack(
        packer -> {
          packer
              .packString(report.serviceName)
              .packLong(report.orderRevision)
              .packString(report.processId)
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
      String serviceName = MessageCodec.readText(unpacker);
      long orderRevision = unpacker.unpackLong();
      String processId = MessageCodec.readText(unpacker);
      long elapsedMillis = unpacker.unpackLong();
      boolean hasFault = unpacker.unpackBoolean();
      int size = unpacker.unpackArrayHeader();
      if (size > MAX_READINGS) {
        throw new IOException("report holds " + size + " readings, more than " + MAX_READINGS);
      }
      List<Reading> readings = new ArrayList<>();
      for (int i = 0; i < size; i++) {
        readings.add(
            new Reading(
                MessageCodec.readText(unpacker),
                unpacker.unpackBoolean(),
                new RouteCounts(
                    unpacker.unpackLong(), unpacker.unpackLong(), unpacker.unpackLong())));
      }
      return new Report(
          serviceName, orderRevision, processId, elapsedMillis, hasFault, List.copyOf(readings));
    } catch (IllegalArgumentException e) {
      throw new IOException(e.getMessage(), e);
    }
  }

  /** Encodes the phase of a rollout as seen by its leader. */
  static byte[] encodePhase(RolloutPhase phase) {
    return MessageCodec.pack(packer -> packer.packString(phase.name()));
  }

  static RolloutPhase decodePhase(byte[] message) throws IOException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(message)) {
      return RolloutPhase.valueOf(MessageCodec.readText(unpacker));
    } catch (IllegalArgumentException e) {
      throw new IOException(e.getMessage(), e);
    }
  }
}
