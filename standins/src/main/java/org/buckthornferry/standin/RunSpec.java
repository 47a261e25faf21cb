package org.buckthornferry.standin;

import java.util.List;
import org.buckthornferry.util.Checks;

/**
 * What a request asks of an engine.
 *
 * @param promptHash the hash of the whole prompt
 * @param prefixHashes the hashes of the body's prefix blocks
 * @param tokensPerBlock the prompt tokens in one prefix block
 * @param maxTokens the tokens to generate
 */
record RunSpec(
    String requestId,
    String path,
    String idempotencyKey,
    String fencing,
    String promptHash,
    List<Long> prefixHashes,
    long promptTokens,
    long tokensPerBlock,
    long maxTokens) {
  RunSpec {
    Checks.notEmpty(requestId, "requestId");
    Checks.notEmpty(promptHash, "promptHash");
    prefixHashes = List.copyOf(prefixHashes);
    Checks.positive(promptTokens, "promptTokens");
    Checks.notNegative(tokensPerBlock, "tokensPerBlock");
    Checks.positive(maxTokens, "maxTokens");
  }

  /** Returns the specification of a request with its prompt and body. */
  static RunSpec of(
      String requestId,
      String path,
      String idempotencyKey,
      String fencing,
      String prompt,
      byte[] body,
      long promptTokens,
      long maxTokens) {
    long perBlock = promptTokens * PrefixHashes.BLOCK_BYTES / Math.max(1, body.length);
    return new RunSpec(
        requestId,
        path,
        idempotencyKey,
        fencing,
        PromptText.hash(prompt),
        PrefixHashes.of(body),
        promptTokens,
        perBlock,
        maxTokens);
  }
}
