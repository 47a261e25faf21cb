package org.buckthornferry.duty;

import java.io.IOException;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import org.buckthornferry.fleet.MessageCodec;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * What an instance has counted. The counts of a window are totals that replace those of earlier
 * messages, so that a repeated message has no effect.
 *
 * @param process random number of the sender's process
 * @param sequence rises with each message of a process
 * @param basis process of the receiver whose replies the counts leave out; 0 if they are complete
 * @param wallClockMillis the sender's wall clock when it sent the message
 * @param span the time over which the counts are complete; empty while the sender does not know the
 *     true time, and then there are no counts
 * @param counts runs by window and customer, of the windows that have changed since the receiver's
 *     last reply
 */
record UsageMessage(
    String senderId,
    long process,
    long sequence,
    long basis,
    long wallClockMillis,
    Span span,
    Map<Long, Map<String, Long>> counts) {
  private static final int FORMAT = 1;

  /** Maximum numbers of windows and of customers of a window in a message. */
  private static final int MAX_WINDOWS = 64;

  private static final int MAX_CUSTOMERS = 2_000;

  /** A time span in milliseconds since 1970 in true time; empty if it ends before it begins. */
  record Span(long fromMillis, long toMillis) {
    static final Span NONE = new Span(0, -1);

    boolean isKnown() {
      return toMillis >= fromMillis;
    }
  }

  /**
   * The reply to a message.
   *
   * @param process random number of the receiver's process
   * @param trueMillis the true time when the receiver sent the reply, if it knows
   */
  record Reply(long process, OptionalLong trueMillis) {
    byte[] encode() {
      return MessageCodec.pack(
          packer -> {
            packer.packInt(FORMAT).packLong(process);
            if (trueMillis.isPresent()) {
              packer.packLong(trueMillis.getAsLong());
            } else {
              packer.packNil();
            }
          });
    }

    static Reply decode(byte[] message) throws IOException {
      try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(message)) {
        checkFormat(unpacker);
        long process = unpacker.unpackLong();
        return new Reply(
            process,
            unpacker.tryUnpackNil()
                ? OptionalLong.empty()
                : OptionalLong.of(unpacker.unpackLong()));
      } catch (MessagePackException e) {
        throw new IOException("malformed reply to a usage message", e);
      }
    }
  }

  byte[] encode() {
    return MessageCodec.pack(
        packer -> {
          packer
              .packInt(FORMAT)
              .packString(senderId)
              .packLong(process)
              .packLong(sequence)
              .packLong(basis)
              .packLong(wallClockMillis)
              .packLong(span.fromMillis)
              .packLong(span.toMillis)
              .packMapHeader(counts.size());
          for (Map.Entry<Long, Map<String, Long>> window : counts.entrySet()) {
            packer.packLong(window.getKey());
            writeCounts(packer, window.getValue());
          }
        });
  }

  static UsageMessage decode(byte[] message) throws IOException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(message)) {
      checkFormat(unpacker);
      String senderId = MessageCodec.readText(unpacker);
      final long process = unpacker.unpackLong();
      final long sequence = unpacker.unpackLong();
      final long basis = unpacker.unpackLong();
      final long wallClockMillis = unpacker.unpackLong();
      final Span span = new Span(unpacker.unpackLong(), unpacker.unpackLong());
      Map<Long, Map<String, Long>> counts = new TreeMap<>();
      int windows = checkSize(unpacker.unpackMapHeader(), MAX_WINDOWS);
      for (int i = 0; i < windows; i++) {
        counts.put(unpacker.unpackLong(), readCounts(unpacker));
      }
      return new UsageMessage(senderId, process, sequence, basis, wallClockMillis, span, counts);
    } catch (MessagePackException e) {
      throw new IOException("malformed usage message", e);
    }
  }

  /** Encodes the report of a window; the same counts always give the same bytes. */
  static byte[] encodeReport(Map<String, Long> counts) {
    return MessageCodec.pack(packer -> writeCounts(packer, new TreeMap<>(counts)));
  }

  static Map<String, Long> decodeReport(byte[] report) throws IOException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(report)) {
      return readCounts(unpacker);
    } catch (MessagePackException e) {
      throw new IOException("malformed usage report", e);
    }
  }

  private static void writeCounts(MessageBufferPacker packer, Map<String, Long> counts)
      throws IOException {
    packer.packMapHeader(counts.size());
    for (Map.Entry<String, Long> count : counts.entrySet()) {
      packer.packString(count.getKey()).packLong(count.getValue());
    }
  }

  private static Map<String, Long> readCounts(MessageUnpacker unpacker) throws IOException {
    Map<String, Long> counts = new TreeMap<>();
    int customers = checkSize(unpacker.unpackMapHeader(), MAX_CUSTOMERS);
    for (int i = 0; i < customers; i++) {
      counts.put(MessageCodec.readText(unpacker), unpacker.unpackLong());
    }
    return counts;
  }

  private static void checkFormat(MessageUnpacker unpacker) throws IOException {
    int format = unpacker.unpackInt();
    if (format != FORMAT) {
      throw new IOException("unknown format " + format);
    }
  }

  private static int checkSize(int size, int most) throws IOException {
    if (size > most) {
      throw new IOException(size + " entries are more than " + most);
    }
    return size;
  }
}
