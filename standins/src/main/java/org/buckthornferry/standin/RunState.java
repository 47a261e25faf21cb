package org.buckthornferry.standin;

import java.util.Locale;

/** The life of a request in an engine. */
enum RunState {
  /** Accepted, not in the batch yet. */
  WAITING,
  PREFILL,
  DECODE,
  /** Imported from another engine and not resumed yet. */
  PARKED,
  /** All tokens were generated. */
  DONE,
  CANCELLED,
  /** Cancelled after its KV cache was exported; the run goes on elsewhere. */
  MOVED,
  /** The engine failed while the request was in it. */
  CRASHED,
  /** The fault of a version failed the request. */
  FAILED;

  boolean isEnded() {
    return compareTo(DONE) >= 0;
  }

  String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
