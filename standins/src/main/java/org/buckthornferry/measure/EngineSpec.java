package org.buckthornferry.measure;

import org.buckthornferry.config.EndpointDeclaration;

/**
 * The true speed of a fake endpoint.
 *
 * @param prefillTokensPerSecond the speed at which prompts are processed, one after the other
 * @param decodeTokensPerSecond the speed of one stream that runs alone
 * @param batchSlowdown the relative slowdown of each stream by every further stream
 */
record EngineSpec(
    EndpointDeclaration declaration,
    double prefillTokensPerSecond,
    double decodeTokensPerSecond,
    double batchSlowdown) {
  double decodeTokensPerSecond(int streams) {
    return decodeTokensPerSecond / (1 + batchSlowdown * Math.max(0, streams - 1));
  }

  /** Returns the seconds for which a request occupies a place of the full batch. */
  double placeSeconds(double prefillTokens, double decodeTokens) {
    return prefillTokens / prefillTokensPerSecond
        + decodeTokens / decodeTokensPerSecond(declaration.maxConcurrent());
  }
}
