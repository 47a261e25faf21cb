package org.buckthornferry.fleet;

import java.io.IOException;
import java.util.Set;
import java.util.TreeSet;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** What instances tell each other about contents under which endpoints end. */
final class ContentMessages {
  /** The most processes in one message; more are never needed for a verdict. */
  private static final int MAX_PROCESSES = 16;

  /**
   * The processes of endpoints that have ended under a content; none when it was answered.
   *
   * @param processes ids of endpoints with the starts of their processes
   */
  record Crashes(String contentHash, Set<String> processes) {}

  private ContentMessages() {}

  static byte[] encode(Crashes crashes) {
    return Packing.pack(
        packer -> {
          packer.packString(crashes.contentHash).packArrayHeader(crashes.processes.size());
          for (String process : crashes.processes) {
            packer.packString(process);
          }
        });
  }

  static Crashes decode(byte[] message) throws IOException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(message)) {
      String contentHash = Packing.text(unpacker);
      int size = unpacker.unpackArrayHeader();
      if (size > MAX_PROCESSES) {
        throw new IOException(size + " processes");
      }
      Set<String> processes = new TreeSet<>();
      for (int i = 0; i < size; i++) {
        processes.add(Packing.text(unpacker));
      }
      return new Crashes(contentHash, Set.copyOf(processes));
    }
  }
}
