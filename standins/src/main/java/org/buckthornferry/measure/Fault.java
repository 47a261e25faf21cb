package org.buckthornferry.measure;

/** A fault of the measurement; times are seconds after the start. */
enum Fault {
  /** An engine crashes, is down for 20 s and starts cold. */
  CRASH,
  /** An engine turns cold without warning for 60 s. */
  COLD,
  /** An engine runs at a quarter of its speed. */
  STRAGGLER,
  /** A failure domain is drained and returned 150 s later. */
  DRAIN,
  /** Load reports are 5 s late. */
  STALE,
  /** One customer sends twice the capacity in the lowest and the middle tier. */
  FLOOD,
  /** A request crashes each engine that runs it, and its caller repeats it every 5 s. */
  POISON
}
