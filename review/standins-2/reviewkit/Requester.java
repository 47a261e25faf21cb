package reviewkit;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/** Stand-in of a requester with one channel. */
public final class Requester implements AutoCloseable {
  private static final AtomicLong NEXT_ID = new AtomicLong(System.nanoTime());

  private final Socket socket = new Socket();
  private final InputStream input;

  /** An answer that was read to its end. */
  @SuppressWarnings("ArrayRecordComponent")
  public record Answer(int status, Wire.Head head, byte[] body) {}

  /** Connects; an instance gets one second for this. */
  public Requester(InetSocketAddress front) throws IOException {
    this(front, 0);
  }

  /** Connects with a receive buffer of a given size, or the usual one if 0. */
  public Requester(InetSocketAddress front, int receiveBufferBytes) throws IOException {
    if (receiveBufferBytes > 0) {
      socket.setReceiveBufferSize(receiveBufferBytes);
    }
    socket.setTcpNoDelay(true);
    socket.connect(front, 1_000);
    input = new BufferedInputStream(socket.getInputStream());
  }

  /** Returns a new id of an attempt. */
  public static String newId() {
    return Long.toHexString(NEXT_ID.incrementAndGet());
  }

  /** Sends a request with a body of a length. */
  public void send(
      String method, String path, String id, String key, long budgetMillis, byte[] body)
      throws IOException {
    send(method, path, id, key, budgetMillis, body, Map.of());
  }

  /** Sends a request with more header fields. */
  public void send(
      String method,
      String path,
      String id,
      String key,
      long budgetMillis,
      byte[] body,
      Map<String, String> fields)
      throws IOException {
    StringBuilder head = new StringBuilder();
    head.append(method).append(' ').append(path).append(" HTTP/1.1\r\nHost: app.example\r\n");
    head.append("X-Buckthornferry-Attempt-Id: ").append(id).append("\r\n");
    head.append("X-Buckthornferry-Time-Budget-Ms: ").append(budgetMillis).append("\r\n");
    head.append("Api-Key: ").append(key).append("\r\n");
    fields.forEach(
        (name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
    if (body.length > 0) {
      head.append("Content-Length: ").append(body.length).append("\r\n");
    }
    head.append("\r\n");
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    all.writeBytes(head.toString().getBytes(java.nio.charset.StandardCharsets.ISO_8859_1));
    all.writeBytes(body);
    socket.getOutputStream().write(all.toByteArray());
    socket.getOutputStream().flush();
  }

  /** Reads an answer within a time. */
  public Answer read(long timeoutMillis) throws IOException {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    return read(timeoutMillis, "GET", (part, length) -> body.write(part, 0, length), body);
  }

  /** Reads the answer to a request with some method; an answer to HEAD has no body. */
  public Answer read(
      long timeoutMillis, String method, Wire.Sink sink, ByteArrayOutputStream collected)
      throws IOException {
    socket.setSoTimeout((int) timeoutMillis);
    Wire.Head head = Wire.readHead(input);
    if (head == null) {
      throw new EOFException("the channel was closed without an answer");
    }
    int status = head.status();
    if (!method.equals("HEAD")) {
      Wire.readBody(head, input, sink);
    }
    return new Answer(status, head, collected.toByteArray());
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
