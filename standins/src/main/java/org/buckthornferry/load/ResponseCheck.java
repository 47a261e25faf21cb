package org.buckthornferry.load;

import java.util.List;

/** Checks the response to one request over all its attempts. Not safe for concurrent use. */
interface ResponseCheck {
  /** A successful response begins; {@code requestId} is empty when its header is absent. */
  void begin(String requestId);

  /** A part of the body has arrived. */
  void onBody(byte[] part, long nowNanos);

  /** The response has ended; returns whether the whole answer is now there. */
  boolean end();

  /** Returns what is wrong with the responses so far. */
  List<String> mismatches();

  /** Returns the tokens that arrived in sequence. */
  long tokens();

  /** Returns when the first token arrived, or 0. */
  long firstTokenNanos();
}
