package org.buckthornferry.node;

import java.util.ArrayList;
import java.util.List;

/** What routing derives from the bytes of a request body without parsing it. */
final class RequestContent {
  /** The usual number of bytes of text in one token. */
  private static final int BYTES_PER_TOKEN = 4;

  /** The bytes of one block of a prompt prefix: 64 tokens. */
  private static final int BLOCK_BYTES = 64 * BYTES_PER_TOKEN;

  /** Longer shared prefixes are rare and do not change the choice. */
  private static final int MAX_BLOCKS = 32;

  private RequestContent() {}

  /** Returns the estimated prompt tokens. */
  static long promptTokens(byte[] body) {
    return Math.max(1, body.length / BYTES_PER_TOKEN);
  }

  /** Returns the hash of each prefix that ends at a block, shortest first. */
  static List<Long> prefixHashes(byte[] body) {
    int blocks = Math.min(MAX_BLOCKS, body.length / BLOCK_BYTES);
    List<Long> hashes = new ArrayList<>(blocks);
    long hash = 0xCBF29CE484222325L;
    for (int i = 0; i < blocks * BLOCK_BYTES; i++) {
      hash = (hash ^ body[i]) * 0x100000001B3L;
      if ((i + 1) % BLOCK_BYTES == 0) {
        hashes.add(hash);
      }
    }
    return hashes;
  }
}
