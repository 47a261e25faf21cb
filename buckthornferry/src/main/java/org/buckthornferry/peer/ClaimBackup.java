package org.buckthornferry.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.buckthornferry.util.Checks;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Replicates idempotent claims from an owner to its backup and from a backup to the next owner.
 *
 * @param requestNumber for {@code FETCH} and {@code CONTENTS}: correlates contents with the fetch
 * @param partIndex for {@code CONTENTS}: the index of this part
 * @param partCount for {@code CONTENTS}: the number of parts
 * @param shards for {@code FETCH}: the shards whose copies are requested
 */
public record ClaimBackup(
    Kind kind,
    long requestNumber,
    int partIndex,
    int partCount,
    List<Integer> shards,
    List<ClaimCopy> copies)
    implements PeerMessage {
  /** The largest number of shards in one message. */
  public static final int MAX_SHARDS = 4096;

  /** The largest number of copies in one message. */
  public static final int MAX_COPIES = 4096;

  /** The action of the receiver. */
  public enum Kind {
    /** Stores the copies as a backup. */
    STORE,
    /** Replies with the copies that it holds for the shards. */
    FETCH,
    /** Merges the copies into its claim table. */
    CONTENTS
  }

  /** Copies the lists and checks their bounds. */
  public ClaimBackup {
    Checks.notNull(kind, "kind");
    shards = List.copyOf(shards);
    copies = List.copyOf(copies);
    Checks.check(shards.size() <= MAX_SHARDS, "too many shards");
    Checks.check(copies.size() <= MAX_COPIES, "too many copies");
  }

  @Override
  public MessageType type() {
    return MessageType.CLAIM_BACKUP;
  }

  @Override
  public void encode(MessagePacker packer) throws IOException {
    packer.packString(kind.name()).packLong(requestNumber).packInt(partIndex).packInt(partCount);
    packer.packArrayHeader(shards.size());
    for (int shard : shards) {
      packer.packInt(shard);
    }
    packer.packArrayHeader(copies.size());
    for (ClaimCopy copy : copies) {
      copy.encode(packer);
    }
  }

  static ClaimBackup decode(MessageUnpacker unpacker) throws IOException {
    Kind kind = BoundedDecoder.unpackEnum(unpacker, Kind.class);
    long requestNumber = unpacker.unpackLong();
    int partIndex = unpacker.unpackInt();
    int partCount = unpacker.unpackInt();
    int shardCount = BoundedDecoder.unpackArraySize(unpacker, MAX_SHARDS);
    List<Integer> shards = new ArrayList<>(shardCount);
    for (int i = 0; i < shardCount; i++) {
      shards.add(unpacker.unpackInt());
    }
    int copyCount = BoundedDecoder.unpackArraySize(unpacker, MAX_COPIES);
    List<ClaimCopy> copies = new ArrayList<>();
    for (int i = 0; i < copyCount; i++) {
      copies.add(ClaimCopy.decode(unpacker));
    }
    return new ClaimBackup(kind, requestNumber, partIndex, partCount, shards, copies);
  }
}
