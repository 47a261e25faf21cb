package org.buckthornferry.config;

import com.fasterxml.jackson.annotation.JsonProperty;

/** What the endpoints of a service are. */
public enum ServiceKind {
  /** Model engines, which stream tokens. */
  @JsonProperty("model")
  MODEL,
  /** Plain services, which answer once. */
  @JsonProperty("plain")
  PLAIN
}
