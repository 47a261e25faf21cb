package org.buckthornferry.shard;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.buckthornferry.util.Checks;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * The ownership record of a shard as stored in the key-value service.
 *
 * @param leaseId the store lease of the owner, or {@link #RELEASED} when the owner released the
 *     shard
 * @param formerOwners the previous owners within the claim window, newest first
 */
public record ShardRecord(
    String ownerId,
    long incarnation,
    long leaseId,
    long fencingNumber,
    List<FormerOwner> formerOwners) {
  /** The lease id of a released shard; no lease has this id. */
  public static final long RELEASED = 0;

  /** The largest number of former owners in a record. */
  public static final int MAX_FORMER_OWNERS = 4_096;

  /**
   * A previous owner of a shard.
   *
   * @param untilMillis when its successor took over, in milliseconds since the epoch
   */
  public record FormerOwner(String instanceId, long incarnation, long untilMillis) {}

  /** Copies the former owners. */
  public ShardRecord {
    Checks.notEmpty(ownerId, "ownerId");
    Checks.positive(fencingNumber, "fencingNumber");
    formerOwners = List.copyOf(formerOwners);
    Checks.check(formerOwners.size() <= MAX_FORMER_OWNERS, "too many former owners");
  }

  /** Returns the record after a takeover, without former owners older than the window. */
  ShardRecord acquiredBy(
      String instanceId, long newIncarnation, long newLeaseId, long nowMillis, long windowMillis) {
    List<FormerOwner> former = new ArrayList<>();
    if (!ownerId.equals(instanceId) || incarnation != newIncarnation) {
      former.add(new FormerOwner(ownerId, incarnation, nowMillis));
    }
    for (FormerOwner owner : formerOwners) {
      if (nowMillis - owner.untilMillis <= windowMillis && former.size() < MAX_FORMER_OWNERS) {
        former.add(owner);
      }
    }
    return new ShardRecord(instanceId, newIncarnation, newLeaseId, fencingNumber + 1, former);
  }

  /** Returns the record after its owner released the shard. */
  ShardRecord released() {
    return new ShardRecord(ownerId, incarnation, RELEASED, fencingNumber, formerOwners);
  }

  /** Returns whether the record names the given process as owner. */
  boolean isOwnedBy(String instanceId, long ownIncarnation) {
    return ownerId.equals(instanceId) && incarnation == ownIncarnation;
  }

  /** Returns the record encoded as MessagePack. */
  public byte[] encode() {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packString(ownerId).packLong(incarnation).packLong(leaseId).packLong(fencingNumber);
      packer.packArrayHeader(formerOwners.size());
      for (FormerOwner owner : formerOwners) {
        packer.packString(owner.instanceId).packLong(owner.incarnation).packLong(owner.untilMillis);
      }
      return packer.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException("encoding to memory failed", e);
    }
  }

  /**
   * Decodes a record from MessagePack.
   *
   * @throws IllegalArgumentException when the bytes are not a record
   */
  public static ShardRecord decode(byte[] bytes) {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      String ownerId = unpacker.unpackString();
      long incarnation = unpacker.unpackLong();
      long leaseId = unpacker.unpackLong();
      long fencingNumber = unpacker.unpackLong();
      int count = unpacker.unpackArrayHeader();
      Checks.check(count <= MAX_FORMER_OWNERS, "too many former owners: " + count);
      List<FormerOwner> former = new ArrayList<>(count);
      for (int i = 0; i < count; i++) {
        former.add(
            new FormerOwner(unpacker.unpackString(), unpacker.unpackLong(), unpacker.unpackLong()));
      }
      return new ShardRecord(ownerId, incarnation, leaseId, fencingNumber, former);
    } catch (IOException | MessagePackException e) {
      throw new IllegalArgumentException("malformed shard record", e);
    }
  }
}
