package org.buckthornferry.load;

import com.fasterxml.jackson.core.type.TypeReference;
import java.io.BufferedWriter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.buckthornferry.config.Json;
import org.buckthornferry.standin.EndpointLog;

/** Reads and writes the history of a run in one directory. */
final class HistoryFiles {
  private static final String REQUESTS = "requests.jsonl";
  private static final String ENDPOINTS = "endpoint-logs.json";
  private static final String EXECUTIONS = "executions.json";
  private static final String EVENTS = "events.jsonl";

  private HistoryFiles() {}

  static void write(Path directory, History history) throws IOException {
    Files.createDirectories(directory);
    writeLines(directory.resolve(REQUESTS), history.requests());
    Json.MAPPER.writeValue(directory.resolve(ENDPOINTS).toFile(), history.endpoints());
    Json.MAPPER.writeValue(directory.resolve(EXECUTIONS).toFile(), history.executions());
    if (!Files.exists(directory.resolve(EVENTS))) {
      writeLines(directory.resolve(EVENTS), history.events());
    }
  }

  static History read(Path directory) throws IOException {
    return new History(
        readLines(directory.resolve(REQUESTS), RequestRecord.class),
        Json.MAPPER.readValue(
            directory.resolve(ENDPOINTS).toFile(), new TypeReference<List<EndpointLog>>() {}),
        Json.MAPPER.readValue(
            directory.resolve(EXECUTIONS).toFile(), new TypeReference<Map<String, Integer>>() {}),
        readEvents(directory));
  }

  /** Returns the events that were written beside a run, or none. */
  static List<HistoryEvent> readEvents(Path directory) throws IOException {
    Path file = directory.resolve(EVENTS);
    return Files.exists(file) ? readLines(file, HistoryEvent.class) : List.of();
  }

  private static void writeLines(Path file, List<?> values) throws IOException {
    try (BufferedWriter writer = Files.newBufferedWriter(file)) {
      for (Object value : values) {
        writer.write(Json.MAPPER.writeValueAsString(value));
        writer.write('\n');
      }
    }
  }

  private static <T> List<T> readLines(Path file, Class<T> type) throws IOException {
    List<T> values = new ArrayList<>();
    for (String line : Files.readAllLines(file)) {
      if (!line.isBlank()) {
        values.add(Json.MAPPER.readValue(line, type));
      }
    }
    return values;
  }
}
