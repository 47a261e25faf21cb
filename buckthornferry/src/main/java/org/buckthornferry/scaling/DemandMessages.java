package org.buckthornferry.scaling;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/** Reports of demand to an instance that orders endpoints, and its replies. */
final class DemandMessages {
  private static final int FORMAT_VERSION = 1;

  /** The longest accepted name, in bytes. */
  private static final int MAX_TEXT_BYTES = 1_024;

  /**
   * A report.
   *
   * @param failureDomain the failure domain of the sender
   * @param counts what the sender has counted since its start, by service
   */
  record Report(String senderId, String failureDomain, Map<String, DemandCounts> counts) {}

  /** Numbers that the replying instance has ordered, by subject. */
  record Reply(Map<String, Integer> ordered) {}

  /** Writes the fields of one message. */
  private interface FieldWriter {
    void write(MessageBufferPacker packer) throws IOException;
  }

  /** Reads the fields of one message. */
  private interface FieldReader<T> {
    T read(MessageUnpacker unpacker) throws IOException;
  }

  private DemandMessages() {}

  static byte[] encodeReport(Report report) {
    return pack(
        packer -> {
          packer.packString(report.senderId).packString(report.failureDomain);
          packer.packMapHeader(report.counts.size());
          for (Map.Entry<String, DemandCounts> entry : report.counts.entrySet()) {
            DemandCounts counts = entry.getValue();
            packer
                .packString(entry.getKey())
                .packLong(counts.arrivals())
                .packLong(counts.slotMillis())
                .packLong(counts.ended())
                .packLong(counts.waiting())
                .packLong(counts.refused());
          }
        });
  }

  /** Decodes a report; fails if it is malformed. */
  static Report decodeReport(byte[] message) throws IOException {
    return unpack(
        message,
        unpacker -> {
          String senderId = readText(unpacker);
          String failureDomain = readText(unpacker);
          Map<String, DemandCounts> counts = new HashMap<>();
          int services = unpacker.unpackMapHeader();
          for (int i = 0; i < services; i++) {
            counts.put(
                readText(unpacker),
                new DemandCounts(
                    unpacker.unpackLong(),
                    unpacker.unpackLong(),
                    unpacker.unpackLong(),
                    Math.max(0, unpacker.unpackLong()),
                    unpacker.unpackLong()));
          }
          return new Report(senderId, failureDomain, counts);
        });
  }

  static byte[] encodeReply(Reply reply) {
    return pack(
        packer -> {
          packer.packMapHeader(reply.ordered.size());
          for (Map.Entry<String, Integer> entry : reply.ordered.entrySet()) {
            packer.packString(entry.getKey()).packInt(entry.getValue());
          }
        });
  }

  /** Decodes a reply; fails if it is malformed. */
  static Reply decodeReply(byte[] message) throws IOException {
    return unpack(
        message,
        unpacker -> {
          Map<String, Integer> ordered = new HashMap<>();
          int subjects = unpacker.unpackMapHeader();
          for (int i = 0; i < subjects; i++) {
            ordered.put(readText(unpacker), unpacker.unpackInt());
          }
          return new Reply(ordered);
        });
  }

  private static byte[] pack(FieldWriter fields) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packInt(FORMAT_VERSION);
      fields.write(packer);
      return packer.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException("writing to an in-memory buffer failed", e);
    }
  }

  private static <T> T unpack(byte[] message, FieldReader<T> fields) throws IOException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(message)) {
      int version = unpacker.unpackInt();
      if (version != FORMAT_VERSION) {
        throw new IOException("unknown format version " + version);
      }
      return fields.read(unpacker);
    } catch (MessagePackException e) {
      throw new IOException("malformed demand message", e);
    }
  }

  /** Reads a name; the size claimed by the sender is checked before memory is allocated. */
  private static String readText(MessageUnpacker unpacker) throws IOException {
    int bytes = unpacker.unpackRawStringHeader();
    if (bytes > MAX_TEXT_BYTES) {
      throw new IOException("text of " + bytes + " bytes exceeds " + MAX_TEXT_BYTES);
    }
    return new String(unpacker.readPayload(bytes), StandardCharsets.UTF_8);
  }
}
