package org.buckthornferry.endpoint;

/** What is known about the content of a request. */
public enum Verdict {
  /** Nothing is held against the content. */
  CLEAR,
  /** The content ran on an endpoint that crashed; it may run only alone. */
  SUSPECT,
  /** The content crashed an endpoint on which it ran alone; it is refused. */
  QUARANTINED
}
