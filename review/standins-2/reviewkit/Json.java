package reviewkit;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Parses the JSON bodies of store calls; writes no JSON. */
final class Json {
  private final String text;
  private int at;

  private Json(String text) {
    this.text = text;
  }

  static Object parse(String text) {
    return new Json(text).value();
  }

  @SuppressWarnings("unchecked")
  static Map<String, Object> object(String text) {
    return (Map<String, Object>) parse(text);
  }

  static String quote(String text) {
    return '"' + text.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
  }

  private char next() {
    while (Character.isWhitespace(text.charAt(at))) {
      at++;
    }
    return text.charAt(at);
  }

  private Object value() {
    char first = next();
    if (first == '{') {
      return members();
    }
    if (first == '[') {
      return elements();
    }
    if (first == '"') {
      return string();
    }
    int start = at;
    while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) {
      at++;
    }
    String word = text.substring(start, at);
    return switch (word) {
      case "true" -> Boolean.TRUE;
      case "false" -> Boolean.FALSE;
      case "null" -> null;
      default -> Double.valueOf(word);
    };
  }

  private Map<String, Object> members() {
    Map<String, Object> members = new LinkedHashMap<>();
    at++;
    while (next() != '}') {
      String name = string();
      next();
      at++;
      members.put(name, value());
      if (next() == ',') {
        at++;
      }
    }
    at++;
    return members;
  }

  private List<Object> elements() {
    List<Object> elements = new ArrayList<>();
    at++;
    while (next() != ']') {
      elements.add(value());
      if (next() == ',') {
        at++;
      }
    }
    at++;
    return elements;
  }

  private String string() {
    next();
    StringBuilder result = new StringBuilder();
    at++;
    while (text.charAt(at) != '"') {
      char c = text.charAt(at++);
      if (c == '\\') {
        char escaped = text.charAt(at++);
        switch (escaped) {
          case 'n' -> result.append('\n');
          case 't' -> result.append('\t');
          case 'r' -> result.append('\r');
          case 'u' -> {
            result.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
            at += 4;
          }
          default -> result.append(escaped);
        }
      } else {
        result.append(c);
      }
    }
    at++;
    return result.toString();
  }
}
