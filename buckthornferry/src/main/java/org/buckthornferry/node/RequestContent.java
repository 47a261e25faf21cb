package org.buckthornferry.node;

import java.util.ArrayList;
import java.util.List;

/** Estimates the prompt size and computes prefix hashes of a request body without parsing it. */
final class RequestContent {
  /** The typical number of text bytes per token. */
  private static final int BYTES_PER_TOKEN = 4;

  /** The size of one block of a prompt prefix, in bytes: 64 tokens. */
  private static final int BLOCK_BYTES = 64 * BYTES_PER_TOKEN;

  /** Longer shared prefixes are rare and do not change which endpoint is chosen. */
  private static final int MAX_BLOCKS = 32;

  private RequestContent() {}

  /** Returns the estimated number of prompt tokens. */
  static long promptTokens(byte[] body) {
    return Math.max(1, body.length / BYTES_PER_TOKEN);
  }

  /** Returns the hash of each prefix of whole blocks, shortest first. */
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
