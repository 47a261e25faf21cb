package org.buckthornferry.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.time.Duration;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.buckthornferry.error.ErrorKind;

/** What the log lines of a deployment say about one request. */
final class RequestStory {
  /** How long before the request something may have led to its end. */
  private static final Duration BEFORE = Duration.ofSeconds(3);

  /** The most lines about the instance and its surroundings. */
  private static final int MAX_SURROUNDINGS = 25;

  /** Starts of the names of events that change what an instance believes or can do. */
  private static final List<String> SURROUNDINGS =
      List.of(
          "allowance.",
          "config.",
          "endpoint.",
          "evacuation.",
          "instance.",
          "log.",
          "readiness.",
          "settings.",
          "store.",
          "task.");

  private static final Set<String> NOT_SHOWN = Set.of("time", "level", "logger", "event", "id");
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final List<Line> own = new ArrayList<>();
  private final List<Line> surroundings = new ArrayList<>();

  /** A log line; {@code source} is what stands before its JSON object. */
  private record Line(Instant time, String source, String event, JsonNode fields) {
    private String text(String field) {
      return fields.path(field).asText();
    }
  }

  /**
   * Reads log lines of any number of instances. Lines without a JSON object are left out; what
   * stands before the object, such as a file name, is taken for the name of the instance.
   */
  static RequestStory read(Stream<String> lines, String requestId) {
    RequestStory story = new RequestStory();
    lines.forEach(line -> parse(line).ifPresent(parsed -> story.add(parsed, requestId)));
    return story;
  }

  private static Optional<Line> parse(String line) {
    int start = line.indexOf('{');
    if (start < 0) {
      return Optional.empty();
    }
    try {
      JsonNode fields = MAPPER.readTree(line.substring(start));
      return Optional.of(
          new Line(
              Instant.parse(fields.path("time").asText()),
              line.substring(0, start).strip(),
              fields.path("event").asText(),
              fields));
    } catch (JsonProcessingException | DateTimeParseException e) {
      // Other programs write to the same output; their lines say nothing about the request.
      return Optional.empty();
    }
  }

  private void add(Line line, String requestId) {
    if (line.text("id").equals(requestId)) {
      own.add(line);
    } else if (SURROUNDINGS.stream().anyMatch(line.event::startsWith)) {
      surroundings.add(line);
    }
  }

  /** Returns whether any line tells of the request. */
  boolean isKnown() {
    return !own.isEmpty();
  }

  /** Returns the events of the request, the events around it and the cause of its end. */
  String describe() {
    if (!isKnown()) {
      return "no line has this id: the request reached no instance, or its lines were dropped"
          + " (log.dropped)\n";
    }
    StringBuilder text = new StringBuilder();
    Instant first = own.get(0).time;
    own.forEach(line -> append(text, first, line));
    List<Line> around = around();
    if (!around.isEmpty()) {
      text.append("meanwhile:\n");
      around.stream().limit(MAX_SURROUNDINGS).forEach(line -> append(text, first, line));
      if (around.size() > MAX_SURROUNDINGS) {
        text.append(String.format("  and %d more lines%n", around.size() - MAX_SURROUNDINGS));
      }
    }
    return text.append("cause: ").append(cause()).append('\n').toString();
  }

  /** Returns what happened to the instance, and to the endpoints that the request was sent to. */
  private List<Line> around() {
    Instant from = own.get(0).time.minus(BEFORE);
    Instant until = own.get(own.size() - 1).time;
    Set<String> endpoints = new HashSet<>();
    own.forEach(line -> endpoints.add(line.text("endpoint")));
    List<Line> around = new ArrayList<>();
    for (Line line : surroundings) {
      boolean isThen = !line.time.isBefore(from) && !line.time.isAfter(until);
      boolean isSameInstance = instance(line).equals(instance(own.get(0)));
      boolean isAboutOtherEndpoint =
          line.event.startsWith("endpoint.")
              && endpoints.stream()
                  .noneMatch(id -> !id.isEmpty() && line.text("key").endsWith("/" + id));
      if (isThen && isSameInstance && !isAboutOtherEndpoint) {
        around.add(line);
      }
    }
    return around;
  }

  /** Returns the last word before the object; a bench or a collector may put a time before it. */
  private static String instance(Line line) {
    return line.source.substring(line.source.lastIndexOf(' ') + 1);
  }

  private static void append(StringBuilder text, Instant first, Line line) {
    text.append(
        String.format(
            Locale.ROOT,
            "  %+7d ms %s",
            Duration.between(first, line.time).toMillis(),
            line.event));
    for (Iterator<Map.Entry<String, JsonNode>> fields = line.fields.fields(); fields.hasNext(); ) {
      Map.Entry<String, JsonNode> field = fields.next();
      if (!NOT_SHOWN.contains(field.getKey())) {
        text.append(' ').append(field.getKey()).append('=').append(field.getValue().asText());
      }
    }
    text.append('\n');
  }

  private String cause() {
    Line last = own.get(own.size() - 1);
    return switch (last.event) {
      case "request.ended" ->
          String.format(
              "served by %s with status %s after %s ms",
              last.text("endpoint"), last.text("status"), last.text("elapsedMillis"));
      case "request.refused", "request.failed" ->
          String.format("%s: %s %s", last.text("kind"), title(last.text("kind")), detail(last));
      case "request.abandoned" ->
          String.format(
              "the caller left after %s ms in phase %s",
              last.text("elapsedMillis"), last.text("phase"));
      default ->
          "the lines end with "
              + last.event
              + ": the instance ended (instance.stopped, or no line after a kill), or lines were"
              + " dropped (log.dropped)";
    };
  }

  private static String title(String kind) {
    for (ErrorKind known : ErrorKind.values()) {
      if (known.name().equals(kind)) {
        return known.title();
      }
    }
    return "This version does not know the kind.";
  }

  private static String detail(Line last) {
    String retry = last.text("retryAfterMillis");
    String advice =
        retry.isEmpty() || retry.equals("0") ? "" : "; to come back in " + retry + " ms";
    return "(" + last.text("detail").replace("\"", "") + advice + ")";
  }
}
