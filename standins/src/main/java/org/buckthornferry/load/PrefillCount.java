package org.buckthornferry.load;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Prompt tokens of the engines.
 *
 * @param tokens the tokens that were prefilled
 * @param wastedTokens those of requests that did not reach their last token
 */
public record PrefillCount(long tokens, long wastedTokens) {
  static final PrefillCount ZERO = new PrefillCount(0, 0);

  PrefillCount plus(PrefillCount other) {
    return new PrefillCount(tokens + other.tokens, wastedTokens + other.wastedTokens);
  }

  PrefillCount minus(PrefillCount other) {
    return new PrefillCount(tokens - other.tokens, wastedTokens - other.wastedTokens);
  }

  /** Returns the wasted part of the prefilled tokens. */
  @JsonProperty
  public double wastedShare() {
    return tokens == 0 ? 0 : (double) wastedTokens / tokens;
  }
}
