package reviewkit;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads and writes HTTP/1.1 messages on sockets. */
public final class Wire {
  private static final int MAX_LINE_BYTES = 32_768;

  private Wire() {}

  /**
   * The head of a message.
   *
   * @param firstLine the request or status line
   * @param headers the fields, with names in lower case
   */
  public record Head(String firstLine, Map<String, String> headers) {
    /** Returns a field, or an empty string. */
    public String header(String name) {
      return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    /** Returns the status of a response; fails if the line is no status line. */
    public int status() throws IOException {
      if (!firstLine.matches("HTTP/1\\.1 [1-5][0-9][0-9]( .*)?")) {
        throw new IOException("no status line: " + firstLine);
      }
      return Integer.parseInt(firstLine.substring(9, 12));
    }

    /** Returns whether the body is chunked. */
    public boolean isChunked() {
      return header("transfer-encoding").equalsIgnoreCase("chunked");
    }
  }

  /** Returns the next line without its end, or null at the end of the stream. */
  public static String readLine(InputStream input) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    while (true) {
      int next = input.read();
      if (next < 0) {
        if (line.size() == 0) {
          return null;
        }
        throw new EOFException("end of the channel within a line: " + text(line.toByteArray()));
      }
      if (next == '\n') {
        String text = text(line.toByteArray());
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
      }
      line.write(next);
      if (line.size() > MAX_LINE_BYTES) {
        throw new IOException("a line without end");
      }
    }
  }

  /** Reads a head; returns null at the end of the stream. */
  public static Head readHead(InputStream input) throws IOException {
    String first = readLine(input);
    if (first == null) {
      return null;
    }
    Map<String, String> headers = new TreeMap<>();
    while (true) {
      String line = readLine(input);
      if (line == null) {
        throw new EOFException("end of the channel within a head");
      }
      if (line.isEmpty()) {
        return new Head(first, headers);
      }
      int colon = line.indexOf(':');
      if (colon <= 0) {
        throw new IOException("no header field: " + line);
      }
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
    }
  }

  /** Receives the parts of a body. */
  @FunctionalInterface
  public interface Sink {
    /** Takes a part. */
    void accept(byte[] part, int length) throws IOException;
  }

  /** Reads a body by its length or its chunks. */
  public static void readBody(Head head, InputStream input, Sink sink) throws IOException {
    if (!head.isChunked()) {
      String length = head.header("content-length");
      copy(input, length.isEmpty() ? 0 : Long.parseLong(length), sink);
      return;
    }
    while (true) {
      String size = readLine(input);
      if (size == null) {
        throw new EOFException("end of the channel before the last chunk");
      }
      long bytes = Long.parseLong(size.split(";")[0].strip(), 16);
      copy(input, bytes, sink);
      String end = readLine(input);
      if (end == null || !end.isEmpty()) {
        throw new EOFException("end of the channel after a chunk");
      }
      if (bytes == 0) {
        return;
      }
    }
  }

  private static void copy(InputStream input, long bytes, Sink sink) throws IOException {
    byte[] part = new byte[8_192];
    long left = bytes;
    while (left > 0) {
      int count = input.read(part, 0, (int) Math.min(left, part.length));
      if (count < 0) {
        throw new EOFException("end of the channel, " + left + " of " + bytes + " bytes missing");
      }
      left -= count;
      sink.accept(part, count);
    }
  }

  /** Writes text and flushes. */
  public static void write(OutputStream output, String text) throws IOException {
    output.write(text.getBytes(StandardCharsets.ISO_8859_1));
    output.flush();
  }

  /** Decodes bytes. */
  public static String text(byte[] bytes) {
    return new String(bytes, StandardCharsets.ISO_8859_1);
  }
}
