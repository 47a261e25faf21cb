package org.buckthornferry.cli;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.buckthornferry.config.Json;
import org.junit.jupiter.api.Test;

class JsonLogFormatterTest {
  private static JsonNode format(String message) throws IOException {
    LogRecord record = new LogRecord(Level.INFO, message);
    record.setLoggerName("test");
    String text = new JsonLogFormatter().format(record);
    assertThat(text).endsWith("\n");
    assertThat(text.trim()).doesNotContain("\n");
    return Json.MAPPER.readTree(text);
  }

  /** Guards against events whose fields a log query cannot find. */
  @Test
  void eventAndFieldsBecomeProperties() throws IOException {
    JsonNode line = format("shard.taken shard=shard/claim/8 reason=lease not live fencing=3");
    assertThat(line.path("event").asText()).isEqualTo("shard.taken");
    assertThat(line.path("shard").asText()).isEqualTo("shard/claim/8");
    assertThat(line.path("reason").asText()).isEqualTo("lease not live");
    assertThat(line.path("fencing").asText()).isEqualTo("3");
  }

  /** Guards against text that breaks the line or the JSON of the log. */
  @Property(seed = "1", tries = 500)
  void anyMessageIsOneJsonLine(@ForAll String message) throws IOException {
    assertThat(format(message).path("level").asText()).isEqualTo("INFO");
  }
}
