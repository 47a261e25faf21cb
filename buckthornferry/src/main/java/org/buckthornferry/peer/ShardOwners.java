package org.buckthornferry.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.buckthornferry.util.Checks;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Announces the shards that the sender owns, or that it has released some.
 *
 * @param incarnation the incarnation of the sender
 * @param owned the shards that the sender owns
 * @param released the shards that the sender has handed back to the receiver
 */
public record ShardOwners(long incarnation, List<Shard> owned, List<Shard> released)
    implements PeerMessage {
  /** The largest number of shards in one list. */
  public static final int MAX_SHARDS = 8_192;

  /**
   * A shard and its fencing number.
   *
   * @param kind the code of the shard's kind
   */
  public record Shard(int kind, int shard, long fencingNumber) {
    /** Checks that the numbers are in range. */
    public Shard {
      Checks.check(kind >= 0 && kind < 16, "kind out of range: " + kind);
      Checks.notNegative(shard, "shard");
      Checks.positive(fencingNumber, "fencingNumber");
    }
  }

  /** Copies the lists. */
  public ShardOwners {
    owned = List.copyOf(owned);
    released = List.copyOf(released);
  }

  @Override
  public MessageType type() {
    return MessageType.SHARD_OWNERS;
  }

  @Override
  public void encode(MessagePacker packer) throws IOException {
    packer.packLong(incarnation);
    encode(packer, owned);
    encode(packer, released);
  }

  private static void encode(MessagePacker packer, List<Shard> shards) throws IOException {
    packer.packArrayHeader(shards.size());
    for (Shard shard : shards) {
      packer.packInt(shard.kind).packInt(shard.shard).packLong(shard.fencingNumber);
    }
  }

  static ShardOwners decode(MessageUnpacker unpacker) throws IOException {
    long incarnation = unpacker.unpackLong();
    List<Shard> owned = decodeShards(unpacker);
    return new ShardOwners(incarnation, owned, decodeShards(unpacker));
  }

  private static List<Shard> decodeShards(MessageUnpacker unpacker) throws IOException {
    int count = unpacker.unpackArrayHeader();
    Checks.check(count <= MAX_SHARDS, "too many shards: " + count);
    List<Shard> shards = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      shards.add(new Shard(unpacker.unpackInt(), unpacker.unpackInt(), unpacker.unpackLong()));
    }
    return shards;
  }
}
