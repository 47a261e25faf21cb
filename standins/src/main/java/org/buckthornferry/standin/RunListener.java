package org.buckthornferry.standin;

/** Receives what an engine generates for one request. */
interface RunListener {
  /** Tokens with the offsets from {@code from} up to but without {@code to} are generated. */
  void onTokens(EngineRun run, long from, long to);

  /** The run has ended in the state of {@code run}. */
  void onEnd(EngineRun run);
}
