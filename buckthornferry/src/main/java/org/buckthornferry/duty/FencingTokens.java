package org.buckthornferry.duty;

import org.buckthornferry.store.StorePosition;

/**
 * Fencing tokens: the position of the write by which a holder took its subject. The store gives out
 * each position once, so no two holders have the same token, and a later one has a higher token,
 * also when all instances were lost meanwhile or the store was restored from an older copy.
 */
final class FencingTokens {
  /**
   * Bits of the revision. With the remaining bits for the era, tokens stay below 2^53 up to the era
   * 8,191, so that a reader that parses numbers as double loses nothing.
   */
  private static final int REVISION_BITS = 40;

  private FencingTokens() {}

  /**
   * Returns the token of a write.
   *
   * @throws ArithmeticException when the position does not fit a token
   */
  static long of(StorePosition position) {
    boolean fits =
        position.revision() >> REVISION_BITS == 0 && position.era() >> (62 - REVISION_BITS) == 0;
    if (!fits) {
      throw new ArithmeticException("no fencing token for " + position);
    }
    return (position.era() << REVISION_BITS) | position.revision();
  }
}
