package org.buckthornferry.peer;

import java.io.IOException;
import org.buckthornferry.util.Checks;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * The summary of a region, reported by one of its representatives.
 *
 * @param reporterId the representative that made the summary
 * @param reporterIncarnation the start time of the representative's process
 * @param sequence increases with every summary of the same process
 * @param runningCount the number of members of the region whose process may be running
 * @param revision the configuration revision that the representative holds
 */
public record RegionSummary(
    String region,
    String reporterId,
    long reporterIncarnation,
    long sequence,
    int runningCount,
    long revision) {
  /** The largest number of members that a summary can state. */
  public static final int MAX_MEMBERS = 1 << 20;

  /** Checks that the identifiers are not empty and the numbers are in range. */
  public RegionSummary {
    Checks.notEmpty(region, "region");
    Checks.notEmpty(reporterId, "reporterId");
    Checks.notNegative(reporterIncarnation, "reporterIncarnation");
    Checks.notNegative(sequence, "sequence");
    Checks.check(runningCount >= 0 && runningCount <= MAX_MEMBERS, "runningCount is out of range");
    Checks.notNegative(revision, "revision");
  }

  void encode(MessagePacker packer) throws IOException {
    packer.packString(region).packString(reporterId).packLong(reporterIncarnation);
    packer.packLong(sequence).packInt(runningCount).packLong(revision);
  }

  static RegionSummary decode(MessageUnpacker unpacker) throws IOException {
    return new RegionSummary(
        FieldCodec.unpackName(unpacker),
        FieldCodec.unpackName(unpacker),
        FieldCodec.unpackCounter(unpacker),
        FieldCodec.unpackCounter(unpacker),
        FieldCodec.unpackCount(unpacker, MAX_MEMBERS),
        FieldCodec.unpackCounter(unpacker));
  }
}
