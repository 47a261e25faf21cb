package org.buckthornferry.load;

/** How a request ended for its caller. */
public enum Outcome {
  /** The whole response arrived and passed every check. */
  COMPLETE,
  /** The last answer said that the request was not run. */
  REFUSED,
  /** The last answer was an error that did not say so. */
  FAILED,
  /** The connection was lost and the caller could not repeat. */
  LOST,
  /** The caller's patience ended. */
  GAVE_UP,
  /** A response that claimed success was wrong or not whole. */
  MISMATCHED
}
