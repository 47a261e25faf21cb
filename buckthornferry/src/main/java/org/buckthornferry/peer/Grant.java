package org.buckthornferry.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.buckthornferry.util.Checks;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Renews all grants of the receiver in the listed shards and changes some of them. Contains every
 * change that the receiver has not acknowledged, so that a message supersedes all earlier ones.
 *
 * @param ownerIncarnation the incarnation of the sender
 * @param grantId increases with every message to the receiver
 * @param requestId the receiver's latest report; the validity period starts when it was sent
 * @param shards the reported shards that the sender owns
 * @param probes queries that the receiver answers immediately
 */
public record Grant(
    long ownerIncarnation,
    long grantId,
    long requestId,
    List<Shard> shards,
    List<Entry> entries,
    List<Probe> probes)
    implements PeerMessage {
  /** A shard and the fencing number of its owner. */
  public record Shard(int shard, long fencingNumber) {
    /** Checks that the numbers are in range. */
    public Shard {
      Checks.notNegative(shard, "shard");
      Checks.positive(fencingNumber, "fencingNumber");
    }
  }

  /**
   * The receiver's share of one endpoint.
   *
   * @param grant the limit of the receiver while the grant is valid
   * @param slice the fallback limit after the grant has expired and no owner responds
   * @param cold whether the endpoint is in cold start
   * @param designated whether the receiver is the only one that may use a slice of a cold endpoint
   */
  public record Entry(
      String endpointId,
      long fencingNumber,
      Amounts grant,
      Amounts slice,
      boolean cold,
      boolean designated) {
    /** Checks the bounds. */
    public Entry {
      HolderReport.checkEndpointId(endpointId);
      Checks.positive(fencingNumber, "fencingNumber");
    }
  }

  /**
   * Queries how many requests the receiver ran at an earlier time.
   *
   * @param ageNanos the time between the queried moment and the send of this message
   */
  public record Probe(String endpointId, long ageNanos) {
    /** Checks the bounds. */
    public Probe {
      HolderReport.checkEndpointId(endpointId);
      Checks.notNegative(ageNanos, "ageNanos");
    }
  }

  /** Copies the lists. */
  public Grant {
    probes = List.copyOf(probes);
    shards = List.copyOf(shards);
    entries = List.copyOf(entries);
  }

  @Override
  public MessageType type() {
    return MessageType.GRANT;
  }

  @Override
  public void encode(MessagePacker packer) throws IOException {
    packer.packLong(ownerIncarnation).packLong(grantId).packLong(requestId);
    packer.packArrayHeader(shards.size());
    for (Shard shard : shards) {
      packer.packInt(shard.shard).packLong(shard.fencingNumber);
    }
    packer.packArrayHeader(entries.size());
    for (Entry entry : entries) {
      packer.packString(entry.endpointId).packLong(entry.fencingNumber);
      entry.grant.encode(packer);
      entry.slice.encode(packer);
      packer.packBoolean(entry.cold).packBoolean(entry.designated);
    }
    packer.packArrayHeader(probes.size());
    for (Probe probe : probes) {
      packer.packString(probe.endpointId).packLong(probe.ageNanos);
    }
  }

  static Grant decode(MessageUnpacker unpacker) throws IOException {
    final long ownerIncarnation = unpacker.unpackLong();
    final long grantId = unpacker.unpackLong();
    final long requestId = unpacker.unpackLong();
    List<Shard> shards = new ArrayList<>();
    for (int count = HolderReport.decodeCount(unpacker); count > 0; count--) {
      shards.add(new Shard(unpacker.unpackInt(), unpacker.unpackLong()));
    }
    List<Entry> entries = new ArrayList<>();
    for (int count = HolderReport.decodeCount(unpacker); count > 0; count--) {
      entries.add(
          new Entry(
              unpacker.unpackString(),
              unpacker.unpackLong(),
              Amounts.decode(unpacker),
              Amounts.decode(unpacker),
              unpacker.unpackBoolean(),
              unpacker.unpackBoolean()));
    }
    List<Probe> probes = new ArrayList<>();
    for (int count = HolderReport.decodeCount(unpacker); count > 0; count--) {
      probes.add(new Probe(unpacker.unpackString(), unpacker.unpackLong()));
    }
    return new Grant(ownerIncarnation, grantId, requestId, shards, entries, probes);
  }
}
