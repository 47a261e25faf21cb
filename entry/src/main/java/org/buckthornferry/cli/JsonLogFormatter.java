package org.buckthornferry.cli;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;

/**
 * Writes one JSON object a line. A message of the form {@code event.name key=value ...} becomes the
 * field {@code event} and one field for each key; a value ends before the next key.
 *
 * <p>Lines are scanned by hand: an instance that lives for a minute writes most of its lines before
 * any code is compiled, and a regular expression then takes milliseconds for a line.
 */
public final class JsonLogFormatter extends Formatter {
  private static final int MAX_ASCII_CONTROL = 0x1f;

  private long second = Long.MIN_VALUE;
  private String secondText = "";

  /** Creates a formatter; called by the logging framework. */
  public JsonLogFormatter() {}

  @Override
  public synchronized String format(LogRecord record) {
    StringBuilder line = new StringBuilder(320);
    line.append("{\"time\":\"");
    appendTime(line, record.getInstant());
    line.append('"');
    appendField(line, "level", record.getLevel().getName());
    appendField(line, "logger", String.valueOf(record.getLoggerName()));
    String message = formatMessage(record).replace('\n', ' ');
    int eventEnd = eventEnd(message);
    if (eventEnd > 0) {
      appendField(line, "event", message.substring(0, eventEnd));
      fields(message, eventEnd).forEach((key, value) -> appendField(line, key, value));
    } else {
      appendField(line, "message", message);
    }
    if (record.getThrown() != null) {
      appendField(line, "exception", stackTrace(record.getThrown()));
    }
    return line.append("}\n").toString();
  }

  /** Returns the end of a name such as {@code a.b_1} at the start of a message, or 0. */
  private static int eventEnd(String message) {
    int end = 0;
    boolean hasDot = false;
    while (end < message.length() && message.charAt(end) != ' ') {
      char character = message.charAt(end);
      boolean isDot = character == '.';
      boolean isEmptyPart = end == 0 || message.charAt(end - 1) == '.';
      if (isDot ? isEmptyPart : !isEventCharacter(character)) {
        return 0;
      }
      hasDot |= isDot;
      end++;
    }
    return hasDot && message.charAt(end - 1) != '.' ? end : 0;
  }

  private static boolean isEventCharacter(char character) {
    return character == '_'
        || (character >= 'a' && character <= 'z')
        || (character >= '0' && character <= '9');
  }

  private static Map<String, String> fields(String message, int start) {
    Map<String, String> fields = new LinkedHashMap<>();
    int space = nextField(message, start);
    while (space < message.length()) {
      int equals = message.indexOf('=', space);
      int next = nextField(message, equals + 1);
      fields.put(message.substring(space + 1, equals), message.substring(equals + 1, next));
      space = next;
    }
    return fields;
  }

  /** Returns the next space at or after {@code from} that a key follows, or the length. */
  private static int nextField(String message, int from) {
    int space = message.indexOf(' ', from);
    while (space >= 0) {
      int end = space + 1;
      while (end < message.length() && isKeyCharacter(message.charAt(end))) {
        end++;
      }
      if (end > space + 1 && end < message.length() && message.charAt(end) == '=') {
        return space;
      }
      space = message.indexOf(' ', space + 1);
    }
    return message.length();
  }

  private static boolean isKeyCharacter(char character) {
    return isEventCharacter(character) || (character >= 'A' && character <= 'Z');
  }

  private static void appendField(StringBuilder line, String key, String value) {
    line.append(",\"").append(key).append("\":\"");
    for (int i = 0; i < value.length(); i++) {
      char character = value.charAt(i);
      if (character == '"' || character == '\\') {
        line.append('\\').append(character);
      } else if (character <= MAX_ASCII_CONTROL || Character.isSurrogate(character)) {
        // An escape is valid for any of them, also for a surrogate without its other half.
        line.append(String.format("\\u%04x", (int) character));
      } else {
        line.append(character);
      }
    }
    line.append('"');
  }

  /** Appends the time with microseconds; the text of a second is kept for its further lines. */
  private void appendTime(StringBuilder line, Instant instant) {
    if (instant.getEpochSecond() != second) {
      second = instant.getEpochSecond();
      secondText = Instant.ofEpochSecond(second).toString().replace("Z", ".");
    }
    String micros = String.valueOf(1_000_000 + instant.getNano() / 1_000);
    line.append(secondText).append(micros, 1, micros.length()).append('Z');
  }

  private static String stackTrace(Throwable thrown) {
    StringWriter text = new StringWriter();
    thrown.printStackTrace(new PrintWriter(text));
    return text.toString();
  }
}
