package org.buckthornferry.config;

import com.fasterxml.jackson.annotation.JsonProperty;

/** The kind of endpoints that a service has. */
public enum ServiceKind {
  /** Model inference servers, which stream tokens. */
  @JsonProperty("model")
  MODEL,
  /** Plain services, which send a single response. */
  @JsonProperty("plain")
  PLAIN
}
