package org.buckthornferry.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.buckthornferry.util.Checks;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Extends every grant of the receiver in the listed shards and changes some. It carries every
 * change that the receiver has not acknowledged, so a grant supersedes every earlier one.
 *
 * @param ownerIncarnation the incarnation of the sender
 * @param grantId grows with every message to the receiver
 * @param requestId the newest report of the receiver; validity counts from when that was sent
 * @param shards the shards that the sender owns, of those reported
 */
public record Grant(
    long ownerIncarnation, long grantId, long requestId, List<Shard> shards, List<Entry> entries)
    implements PeerMessage {
  /** A shard with the fencing number of its owner. */
  public record Shard(int shard, long fencingNumber) {
    /** Checks that the numbers are in range. */
    public Shard {
      Checks.notNegative(shard, "shard");
      Checks.positive(fencingNumber, "fencingNumber");
    }
  }

  /**
   * The receiver's part of one endpoint.
   *
   * @param grant what the receiver may run while the grant is valid
   * @param slice what it may run afterwards when no owner responds
   * @param cold whether the endpoint is in cold start
   * @param designated whether the receiver alone may use a slice of a cold endpoint
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

  /** Copies the lists. */
  public Grant {
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
  }

  static Grant decode(MessageUnpacker unpacker) throws IOException {
    long ownerIncarnation = unpacker.unpackLong();
    long grantId = unpacker.unpackLong();
    long requestId = unpacker.unpackLong();
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
    return new Grant(ownerIncarnation, grantId, requestId, shards, entries);
  }
}
