package org.buckthornferry.request;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.buckthornferry.peer.ClaimCopy;
import org.buckthornferry.util.Checks;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * The store value of one segment of a claim journal.
 *
 * @param closed whether the journal continues in the next segment
 * @param commitNumber the number of the journal's last commit
 * @param seals the fencing number of the sealing owner for each sealed shard; records of the shard
 *     with a lower fencing number are no longer accepted
 * @param records the encoded records
 */
@SuppressWarnings("ArrayRecordComponent") // Compared by store version, never by equals.
record JournalSegment(
    boolean closed, long commitNumber, Map<Integer, Long> seals, int recordCount, byte[] records) {
  private static final int FORMAT_VERSION = 1;
  private static final int MAX_SEALS = 4096;
  private static final int MAX_RECORDS = 100_000;

  JournalSegment {
    seals = Map.copyOf(seals);
  }

  static JournalSegment empty(long commitNumber) {
    return new JournalSegment(false, commitNumber, Map.of(), 0, new byte[0]);
  }

  static String prefix(String instanceId, long incarnation) {
    return "journal/" + instanceId + "/" + incarnation + "/";
  }

  /** Returns the key of a segment; keys sort by segment number. */
  static String key(String prefix, long number) {
    return prefix + String.format(java.util.Locale.ROOT, "%010d", number);
  }

  static long numberOf(String prefix, String key) {
    return Long.parseLong(key.substring(prefix.length()));
  }

  JournalSegment withSeals(Map<Integer, Long> added) {
    Map<Integer, Long> merged = new TreeMap<>(seals);
    added.forEach((shard, fencing) -> merged.merge(shard, fencing, Math::max));
    return new JournalSegment(closed, commitNumber, merged, recordCount, records);
  }

  /** Returns whether every shard is sealed with at least the given fencing number. */
  boolean hasSeals(Map<Integer, Long> wanted) {
    return wanted.entrySet().stream()
        .allMatch(seal -> seals.getOrDefault(seal.getKey(), 0L) >= seal.getValue());
  }

  byte[] encode() {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packInt(FORMAT_VERSION).packBoolean(closed).packLong(commitNumber);
      packer.packMapHeader(seals.size());
      for (Map.Entry<Integer, Long> seal : new TreeMap<>(seals).entrySet()) {
        packer.packInt(seal.getKey()).packLong(seal.getValue());
      }
      packer.packInt(recordCount);
      packer.packBinaryHeader(records.length).writePayload(records);
      return packer.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException("encoding to memory failed", e);
    }
  }

  /**
   * Decodes a segment from a store value.
   *
   * @throws IllegalArgumentException when the value is not a valid segment
   */
  static JournalSegment decode(byte[] value) {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(value)) {
      Checks.check(
          unpacker.unpackInt() == FORMAT_VERSION, "unknown format version of a journal segment");
      return new JournalSegment(
          unpacker.unpackBoolean(),
          unpacker.unpackLong(),
          decodeSeals(unpacker),
          bounded(unpacker.unpackInt(), MAX_RECORDS),
          unpacker.readPayload(bounded(unpacker.unpackBinaryHeader(), value.length)));
    } catch (IOException | MessagePackException e) {
      throw new IllegalArgumentException("malformed journal segment: " + e.getMessage(), e);
    }
  }

  private static Map<Integer, Long> decodeSeals(MessageUnpacker unpacker) throws IOException {
    int sealCount = bounded(unpacker.unpackMapHeader(), MAX_SEALS);
    Map<Integer, Long> seals = new TreeMap<>();
    for (int i = 0; i < sealCount; i++) {
      seals.put(unpacker.unpackInt(), unpacker.unpackLong());
    }
    return seals;
  }

  private static int bounded(int size, int max) {
    Checks.check(
        size >= 0 && size <= max, "size " + size + " in a journal segment is out of range");
    return size;
  }

  /** Returns the decoded records in append order. */
  List<ClaimCopy> decodeRecords() {
    List<ClaimCopy> decoded = new ArrayList<>(recordCount);
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(records)) {
      for (int i = 0; i < recordCount; i++) {
        decoded.add(ClaimCopy.decode(unpacker));
      }
      return decoded;
    } catch (IOException | MessagePackException e) {
      throw new IllegalArgumentException("malformed journal record: " + e.getMessage(), e);
    }
  }

  static byte[] encodeRecord(ClaimCopy copy) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      copy.encode(packer);
      return packer.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException("encoding to memory failed", e);
    }
  }
}
