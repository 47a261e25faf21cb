package org.buckthornferry.peer;

import java.io.IOException;
import org.buckthornferry.util.Checks;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * What one representative of a region reports to the others.
 *
 * @param reporterId the representative that made the summary
 * @param reporterIncarnation the start time of the representative's process
 * @param sequence grows with every summary of the same process
 * @param runningCount the members of the region whose process may be running
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

  /** Checks that the identifiers are present and the numbers are in range. */
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
        Fields.name(unpacker),
        Fields.name(unpacker),
        Fields.counter(unpacker),
        Fields.counter(unpacker),
        Fields.count(unpacker, MAX_MEMBERS),
        Fields.counter(unpacker));
  }
}
