package org.buckthornferry.peer;

import java.io.IOException;
import java.util.List;
import org.buckthornferry.util.Checks;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Liveness message that also gossips membership changes.
 *
 * @param incarnation the start time of the sender's process, in milliseconds since the epoch
 * @param refutations the number of suspicions that the sender has refuted
 * @param sequence increases with every heartbeat of the same process, so that a delayed or
 *     duplicate one does not count as evidence of liveness
 * @param leaving whether the sender is shutting down
 * @param storeReachable whether the sender's last observed call reached the key-value service
 * @param storeAgeMillis the age of {@code storeReachable} when the message was sent
 * @param revision the configuration revision that the sender holds
 * @param revisionDigest the digest of that revision; 0 for revision 0
 * @param memberDigest a digest of the member list of the sender's region, to detect lost gossip
 * @param entries changed members, newest first, at most {@link #MAX_ENTRIES}
 * @param regions summaries of other regions, at most {@link #MAX_ENTRIES}
 * @param storeObservations observed store reachability of members, at most {@link #MAX_ENTRIES}
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
    FieldCodec.packList(packer, entries, MemberEntry::encode);
    FieldCodec.packList(packer, regions, RegionSummary::encode);
    FieldCodec.packList(packer, storeObservations, StoreObservation::encode);
  }

  static Heartbeat decode(MessageUnpacker unpacker) throws IOException {
    long incarnation = FieldCodec.unpackCounter(unpacker);
    long refutations = FieldCodec.unpackCounter(unpacker);
    long sequence = FieldCodec.unpackCounter(unpacker);
    int flags = FieldCodec.unpackCount(unpacker, 3);
    int storeAgeMillis = FieldCodec.unpackCount(unpacker, MemberEntry.MAX_AGE_MILLIS);
    return new Heartbeat(
        incarnation,
        refutations,
        sequence,
        (flags & 2) != 0,
        (flags & 1) != 0,
        storeAgeMillis,
        FieldCodec.unpackCounter(unpacker),
        unpacker.unpackLong(),
        unpacker.unpackInt(),
        FieldCodec.unpackList(unpacker, MAX_ENTRIES, MemberEntry::decode),
        FieldCodec.unpackList(unpacker, MAX_ENTRIES, RegionSummary::decode),
        FieldCodec.unpackList(unpacker, MAX_ENTRIES, StoreObservation::decode));
  }
}
