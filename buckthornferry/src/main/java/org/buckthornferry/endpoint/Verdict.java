package org.buckthornferry.endpoint;

/** What is known about the content of a request. */
public enum Verdict {
  /** Nothing is held against the content. */
  CLEAR,
  /** The content ran on an endpoint that crashed, as others did that are sound. */
  SUSPECT,
  /** The content crashes endpoints; it is refused. */
  QUARANTINED
}
