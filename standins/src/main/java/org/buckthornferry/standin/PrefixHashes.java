package org.buckthornferry.standin;

import java.util.ArrayList;
import java.util.List;

/**
 * Hashes the prefixes of a request body that end at a block. Schedulers that want to use the cache
 * events compute the same hashes from the body without parsing it.
 */
final class PrefixHashes {
  /** The bytes of one block: 64 tokens of 4 bytes. */
  static final int BLOCK_BYTES = 256;

  private static final int MAX_BLOCKS = 32;
  private static final long START = 0xCBF29CE484222325L;
  private static final long FACTOR = 0x100000001B3L;

  private PrefixHashes() {}

  /** Returns the hashes of the first 256, 512, ... bytes, shortest first. */
  static List<Long> of(byte[] body) {
    int blocks = Math.min(MAX_BLOCKS, body.length / BLOCK_BYTES);
    List<Long> hashes = new ArrayList<>(blocks);
    long hash = START;
    for (int i = 0; i < blocks * BLOCK_BYTES; i++) {
      hash = (hash ^ body[i]) * FACTOR;
      if ((i + 1) % BLOCK_BYTES == 0) {
        hashes.add(hash);
      }
    }
    return hashes;
  }
}
