package org.buckthornferry.cli;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
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

  @Test
  void aMessageThatIsNoEventIsKeptWhole() throws IOException {
    for (String message :
        new String[] {"no event here a=1", "a. b=1", ".a b=1", "a..b c=1", "A.b"}) {
      JsonNode line = format(message);
      assertThat(line.path("message").asText()).isEqualTo(message);
      assertThat(line.has("event")).isFalse();
    }
  }

  @Test
  void valuesKeepSpacesQuotesAndEqualSigns() throws IOException {
    JsonNode line = format("a.b text=\"x = y\" empty= odd== last=a-b=c d");
    assertThat(line.path("text").asText()).isEqualTo("\"x = y\"");
    assertThat(line.path("empty").asText()).isEmpty();
    assertThat(line.path("odd").asText()).isEqualTo("=");
    assertThat(line.path("last").asText()).isEqualTo("a-b=c d");
  }

  @Test
  void theTimeCanBeReadAsAnInstant() throws IOException {
    Instant before = Instant.now().truncatedTo(ChronoUnit.MICROS);
    Instant logged = Instant.parse(format("a.b c=1").path("time").asText());
    assertThat(logged).isAtLeast(before);
    assertThat(logged).isAtMost(Instant.now());
  }

  /** Guards against text that breaks the line or the JSON of the log. */
  @Property(seed = "1", tries = 500)
  void anyMessageIsOneJsonLine(@ForAll String message) throws IOException {
    assertThat(format(message).path("level").asText()).isEqualTo("INFO");
  }
}
