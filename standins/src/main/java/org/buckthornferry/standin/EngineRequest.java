package org.buckthornferry.standin;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import java.io.IOException;
import org.buckthornferry.config.Json;
import org.buckthornferry.util.Checks;

/**
 * The body of a request to an engine.
 *
 * @param promptTokens the prompt tokens; when absent, a quarter of the prompt's characters
 * @param maxTokens the tokens to generate; when absent, 64
 */
@JsonIgnoreProperties(ignoreUnknown = true)
record EngineRequest(String prompt, Long promptTokens, Long maxTokens) {
  private static final long DEFAULT_MAX_TOKENS = 64;
  private static final int CHARS_PER_TOKEN = 4;

  EngineRequest {
    Checks.notEmpty(prompt, "prompt");
    promptTokens =
        promptTokens == null
            ? Math.max(1L, (long) prompt.length() / CHARS_PER_TOKEN)
            : promptTokens;
    maxTokens = maxTokens == null ? Long.valueOf(DEFAULT_MAX_TOKENS) : maxTokens;
    Checks.positive(promptTokens, "promptTokens");
    Checks.positive(maxTokens, "maxTokens");
  }

  /**
   * Parses a body.
   *
   * @throws IllegalArgumentException when the body is malformed
   */
  static EngineRequest parse(byte[] body) {
    try {
      return Json.MAPPER.readValue(body, EngineRequest.class);
    } catch (IOException e) {
      throw new IllegalArgumentException("malformed body: " + e.getMessage(), e);
    }
  }
}
