package org.buckthornferry.peer;

import java.io.IOException;
import java.util.List;
import org.buckthornferry.util.Checks;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Shows that the sender is alive and carries what changed.
 *
 * @param incarnation the start time of the sender's process, in milliseconds since the epoch
 * @param refutations how often the sender has refuted a suspicion
 * @param sequence grows with every heartbeat of the same process, so that a delayed or doubled one
 *     is not taken as a sign of life
 * @param leaving whether the sender is shutting down
 * @param storeReachable whether the sender reached the key-value service when last observed
 * @param storeAgeMillis the age of {@code storeReachable} when the message was sent
 * @param revision the configuration revision that the sender holds
 * @param revisionDigest the digest of that revision; 0 for revision 0
 * @param memberDigest a digest of the members of the sender's region, to detect lost gossip
 * @param entries changed members, newest first, at most {@link #MAX_ENTRIES}
 * @param regions summaries of other regions, at most {@link #MAX_ENTRIES}
 * @param storeObservations observations of the key-value service, at most {@link #MAX_ENTRIES}
 */
public record Heartbeat(
    long incarnation,
    long refutations,
    long sequence,
    boolean leaving,
    boolean storeReachable,
    int storeAgeMillis,
    long revision,
    long revisionDigest,
    int memberDigest,
    List<MemberEntry> entries,
    List<RegionSummary> regions,
    List<StoreObservation> storeObservations)
    implements PeerMessage {
  /** The largest number of elements in each list. */
  public static final int MAX_ENTRIES = 16;

  /** Copies the lists and checks their sizes. */
  public Heartbeat {
    Checks.notNegative(incarnation, "incarnation");
    Checks.notNegative(refutations, "refutations");
    Checks.notNegative(sequence, "sequence");
    Checks.notNegative(revision, "revision");
    entries = List.copyOf(entries);
    regions = List.copyOf(regions);
    storeObservations = List.copyOf(storeObservations);
    Checks.check(entries.size() <= MAX_ENTRIES, "too many entries");
    Checks.check(regions.size() <= MAX_ENTRIES, "too many regions");
    Checks.check(storeObservations.size() <= MAX_ENTRIES, "too many storeObservations");
  }

  @Override
  public MessageType type() {
    return MessageType.HEARTBEAT;
  }

  @Override
  public void encode(MessagePacker packer) throws IOException {
    packer.packLong(incarnation).packLong(refutations).packLong(sequence);
    packer.packInt((leaving ? 2 : 0) + (storeReachable ? 1 : 0)).packInt(storeAgeMillis);
    packer.packLong(revision).packLong(revisionDigest).packInt(memberDigest);
    Fields.packList(packer, entries, MemberEntry::encode);
    Fields.packList(packer, regions, RegionSummary::encode);
    Fields.packList(packer, storeObservations, StoreObservation::encode);
  }

  static Heartbeat decode(MessageUnpacker unpacker) throws IOException {
    long incarnation = Fields.counter(unpacker);
    long refutations = Fields.counter(unpacker);
    long sequence = Fields.counter(unpacker);
    int flags = Fields.count(unpacker, 3);
    int storeAgeMillis = Fields.count(unpacker, MemberEntry.MAX_AGE_MILLIS);
    return new Heartbeat(
        incarnation,
        refutations,
        sequence,
        (flags & 2) != 0,
        (flags & 1) != 0,
        storeAgeMillis,
        Fields.counter(unpacker),
        unpacker.unpackLong(),
        unpacker.unpackInt(),
        Fields.list(unpacker, MAX_ENTRIES, MemberEntry::decode),
        Fields.list(unpacker, MAX_ENTRIES, RegionSummary::decode),
        Fields.list(unpacker, MAX_ENTRIES, StoreObservation::decode));
  }
}
