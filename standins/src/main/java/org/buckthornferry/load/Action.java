package org.buckthornferry.load;

import com.fasterxml.jackson.databind.JsonNode;
import org.buckthornferry.util.Checks;

/**
 * An admin call in the course of a scenario, such as a change of faults.
 *
 * @param atSeconds the time since the start of the scenario
 * @param url the complete URL of the call
 * @param body the JSON body
 */
public record Action(double atSeconds, String method, String url, JsonNode body) {
  /** Checks the values. */
  public Action {
    Checks.check(atSeconds >= 0, "atSeconds must not be negative");
    Checks.notEmpty(method, "method");
    Checks.notEmpty(url, "url");
    Checks.notNull(body, "body");
  }
}
