package org.buckthornferry.fleet;

import java.io.IOException;
import java.util.Map;
import org.buckthornferry.fleet.ContentCrashes.Crash;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** Encodes crash reports that instances exchange and store for each content. */
final class ContentMessages {
  /** Maximum number of processes in one message; more are never needed for a verdict. */
  private static final int MAX_PROCESSES = 16;

  /** Crashes of a content; none when it has been answered and is cleared. */
  record CrashReport(String contentHash, ContentCrashes crashes) {}

  private ContentMessages() {}

  static byte[] encode(String contentHash, ContentCrashes crashes) {
    Map<String, Crash> byProcess = crashes.byProcess();
    return MessageCodec.pack(
        packer -> {
          packer.packString(contentHash).packMapHeader(byProcess.size());
          for (Map.Entry<String, Crash> crash : byProcess.entrySet()) {
            packer
                .packString(crash.getKey())
                .packLong(crash.getValue().sentEpochMillis())
                .packLong(crash.getValue().endedEpochMillis());
          }
        });
  }

  static CrashReport decode(byte[] message) throws IOException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(message)) {
      String contentHash = MessageCodec.readText(unpacker);
      int size = unpacker.unpackMapHeader();
      if (size > MAX_PROCESSES) {
        throw new IOException(
            "crash report lists " + size + " processes, more than " + MAX_PROCESSES);
      }
      ContentCrashes crashes = ContentCrashes.NONE;
      for (int i = 0; i < size; i++) {
        String process = MessageCodec.readText(unpacker);
        Crash crash = new Crash(unpacker.unpackLong(), unpacker.unpackLong());
        crashes = crashes.union(ContentCrashes.of(process, crash));
      }
      return new CrashReport(contentHash, crashes);
    }
  }
}
