package org.buckthornferry.cli;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Writes one JSON object a line. A message of the form {@code event.name key=value ...} becomes the
 * field {@code event} and one field for each key.
 */
public final class JsonLogFormatter extends Formatter {
  private static final Pattern EVENT = Pattern.compile("[a-z0-9_]+(\\.[a-z0-9_]+)+(?= |$)");
  private static final Pattern FIELD = Pattern.compile("(?<= )(\\w+)=(.*?)(?= \\w+=|$)");

  /** Creates a formatter; called by the logging framework. */
  public JsonLogFormatter() {}

  @Override
  public String format(LogRecord record) {
    ObjectNode line = JsonNodeFactory.instance.objectNode();
    line.put("time", record.getInstant().toString());
    line.put("level", record.getLevel().getName());
    line.put("logger", record.getLoggerName());
    String message = formatMessage(record).replace('\n', ' ');
    Matcher event = EVENT.matcher(message);
    if (event.lookingAt()) {
      line.put("event", event.group());
      Matcher field = FIELD.matcher(message);
      while (field.find()) {
        line.put(field.group(1), field.group(2));
      }
    } else {
      line.put("message", message);
    }
    if (record.getThrown() != null) {
      line.put("exception", stackTrace(record.getThrown()));
    }
    return line + "\n";
  }

  private static String stackTrace(Throwable thrown) {
    StringWriter text = new StringWriter();
    thrown.printStackTrace(new PrintWriter(text));
    return text.toString();
  }
}
