package org.buckthornferry.fleet;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/**
 * What an instance tells the others through the store.
 *
 * @param peerAddress where it listens for other instances, as {@code host:port}
 * @param demandPerSecond each customer's demand at the instance, in its unit
 */
record InstanceRecord(String peerAddress, Map<String, Double> demandPerSecond) {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  InstanceRecord {
    demandPerSecond = Map.copyOf(demandPerSecond);
  }

  byte[] encode() {
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    node.put("peerAddress", peerAddress);
    ObjectNode demand = node.putObject("demandPerSecond");
    demandPerSecond.forEach((name, value) -> demand.put(name, Math.round(value)));
    try {
      return MAPPER.writeValueAsString(node).getBytes(StandardCharsets.UTF_8);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a tree of strings and numbers can always be written", e);
    }
  }

  /** Fails when the value was not written by {@link #encode}. */
  static InstanceRecord decode(byte[] value) throws IOException {
    JsonNode node = MAPPER.readTree(value);
    Map<String, Double> demand = new HashMap<>();
    node.path("demandPerSecond")
        .fields()
        .forEachRemaining(entry -> demand.put(entry.getKey(), entry.getValue().asDouble()));
    return new InstanceRecord(node.path("peerAddress").asText(), demand);
  }
}
