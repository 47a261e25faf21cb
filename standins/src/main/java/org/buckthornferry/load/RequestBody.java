package org.buckthornferry.load;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.buckthornferry.config.ServiceKind;
import org.buckthornferry.standin.PromptText;

/**
 * The body of a request. Its content contains the id of the request, so that no two requests have
 * the same content hash.
 */
@SuppressWarnings("ArrayRecordComponent") // Bodies are written once and never compared.
record RequestBody(byte[] bytes, String contentHash) {
  private static final int CHARS_PER_TOKEN = 4;

  /** Keeps bodies small; the token counts are stated beside the prompt. */
  private static final int MAX_PROMPT_CHARS = 4_096;

  static RequestBody of(Arrival arrival, String id) {
    return arrival.requestClass().kind() == ServiceKind.MODEL
        ? model(arrival, id)
        : plain(arrival, id);
  }

  private static RequestBody model(Arrival arrival, String id) {
    String prompt = prompt(arrival, id);
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    node.put("prompt", prompt);
    node.put("promptTokens", arrival.promptTokens());
    node.put("maxTokens", arrival.maxTokens());
    return new RequestBody(node.toString().getBytes(UTF_8), PromptText.hash(prompt));
  }

  private static RequestBody plain(Arrival arrival, String id) {
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    node.put("clientRequestId", id);
    node.put("action", arrival.requestClass().name());
    String text = node.toString();
    return new RequestBody(text.getBytes(UTF_8), PromptText.hash(text));
  }

  private static String prompt(Arrival arrival, String id) {
    RequestClass requestClass = arrival.requestClass();
    long chars = Math.min(MAX_PROMPT_CHARS, arrival.promptTokens() * CHARS_PER_TOKEN);
    int prefixChars = (int) Math.min(requestClass.sharedPrefixChars(), chars);
    StringBuilder prompt = new StringBuilder();
    String shared = requestClass.customer() + " " + requestClass.name() + " instructions. ";
    while (prompt.length() < prefixChars) {
      prompt.append(shared);
    }
    prompt.setLength(prefixChars);
    prompt.append(" request ").append(id).append('.');
    while (prompt.length() < chars) {
      prompt.append(' ').append(id);
    }
    return prompt.toString();
  }
}
