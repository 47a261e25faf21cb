package org.buckthornferry.fleet;

import java.io.IOException;
import java.util.Map;
import org.buckthornferry.fleet.ContentCrashes.Crash;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** What instances tell each other about contents under which endpoints end. */
final class ContentMessages {
  /** The most processes in one message; more are never needed for a verdict. */
  private static final int MAX_PROCESSES = 16;

  /** What is held against a content; nothing when it was answered. */
  record Told(String contentHash, ContentCrashes crashes) {}

  private ContentMessages() {}

  static byte[] encode(String contentHash, ContentCrashes crashes) {
    Map<String, Crash> byProcess = crashes.byProcess();
    return Packing.pack(
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

  static Told decode(byte[] message) throws IOException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(message)) {
      String contentHash = Packing.text(unpacker);
      int size = unpacker.unpackMapHeader();
      if (size > MAX_PROCESSES) {
        throw new IOException(size + " processes");
      }
      ContentCrashes crashes = ContentCrashes.NONE;
      for (int i = 0; i < size; i++) {
        String process = Packing.text(unpacker);
        Crash crash = new Crash(unpacker.unpackLong(), unpacker.unpackLong());
        crashes = crashes.union(ContentCrashes.of(process, crash));
      }
      return new Told(contentHash, crashes);
    }
  }
}
