package org.buckthornferry.endpoint;

/** Whether the content of a request is known or suspected to crash endpoints. */
public enum Verdict {
  /** The content is not suspected. */
  CLEAR,
  /** The content was running on an endpoint that crashed, possibly along with other content. */
  SUSPECT,
  /** The content crashes endpoints and is refused. */
  QUARANTINED
}
