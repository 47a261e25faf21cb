package org.buckthornferry.cli;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.junit.jupiter.api.Test;

final class BatchedLogHandlerTest {
  private static final int BUDGET = 20;

  private final ByteArrayOutputStream output = new ByteArrayOutputStream();
  private final BatchedLogHandler handler = new BatchedLogHandler(output, BUDGET);

  @Test
  void writesOneObjectALine() {
    handler.publish(new LogRecord(Level.INFO, "request.sent id=r1 attempt=2"));
    handler.flush();
    List<String> lines = lines();
    assertThat(lines).hasSize(1);
    assertThat(lines.get(0)).contains("\"event\":\"request.sent\"");
    assertThat(lines.get(0)).contains("\"id\":\"r1\"");
  }

  @Test
  void staysInItsBudgetWhenFarMoreIsLogged() {
    for (int i = 0; i < 100 * BUDGET; i++) {
      handler.publish(new LogRecord(Level.INFO, "request.sent id=r" + i));
    }
    handler.flush();
    // The lines may fall into two seconds, and one line counts those that were dropped.
    assertThat(lines().size()).isAtMost(2 * BUDGET + 1);
  }

  @Test
  void writesNothingAfterItWasClosed() {
    handler.close();
    handler.publish(new LogRecord(Level.INFO, "request.sent id=r1"));
    handler.flush();
    assertThat(output.size()).isEqualTo(0);
  }

  private List<String> lines() {
    return output.toString(StandardCharsets.UTF_8).lines().toList();
  }
}
