import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A small HTTP/1.1 server and client on plain sockets, for the stand-ins of the review. */
final class Http {
  private Http() {}

  /** A request as received. */
  record Request(String method, String target, Map<String, String> headers, byte[] body) {
    String header(String name) {
      return headers.get(name.toLowerCase(Locale.ROOT));
    }

    String path() {
      int query = target.indexOf('?');
      return query < 0 ? target : target.substring(0, query);
    }

    /** Returns the decoded value of a query parameter, or an empty string. */
    String query(String name) {
      int start = target.indexOf('?');
      if (start < 0) {
        return "";
      }
      for (String part : target.substring(start + 1).split("&")) {
        if (part.startsWith(name + "=")) {
          return java.net.URLDecoder.decode(
              part.substring(name.length() + 1), StandardCharsets.UTF_8);
        }
      }
      return "";
    }
  }

  /** A response as received; {@code isWhole} tells whether its body was complete. */
  record Response(int status, Map<String, String> headers, byte[] body, boolean isWhole) {
    String header(String name) {
      return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }
  }

  /** Answers one request; returns false to close the connection. */
  interface Handler {
    boolean handle(Request request, Socket socket) throws IOException;
  }

  /** Listens on a loopback address and serves each connection on a thread of its own. */
  static final class Server {
    private final ServerSocket listener;
    private final Handler handler;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

    Server(Handler handler) throws IOException {
      this.handler = handler;
      this.listener = new ServerSocket();
      listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 256);
      daemon(this::accept);
    }

    String address() {
      return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Ends the server like the exit of its process: connections are closed, none is accepted. */
    void exit() throws IOException {
      listener.close();
      for (Socket connection : connections) {
        connection.close();
      }
    }

    private void accept() {
      while (!listener.isClosed()) {
        try {
          Socket socket = listener.accept();
          socket.setTcpNoDelay(true);
          connections.add(socket);
          daemon(() -> serve(socket));
        } catch (IOException e) {
          return;
        }
      }
    }

    private void serve(Socket socket) {
      try (socket) {
        InputStream input = new BufferedInputStream(socket.getInputStream());
        while (true) {
          Request request = readRequest(input);
          if (request == null || !handler.handle(request, socket)) {
            return;
          }
        }
      } catch (IOException e) {
        // The other side has closed the connection.
        return;
      } finally {
        connections.remove(socket);
      }
    }
  }

  static void daemon(Runnable task) {
    Thread thread = new Thread(null, task, "stand-in", 256 << 10);
    thread.setDaemon(true);
    thread.start();
  }

  static boolean respond(Socket socket, int status, Map<String, String> headers, byte[] body)
      throws IOException {
    StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " status\r\n");
    headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
    head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    bytes.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
    bytes.writeBytes(body);
    write(socket, bytes.toByteArray());
    return true;
  }

  static boolean respondJson(Socket socket, int status, String json) throws IOException {
    return respond(
        socket,
        status,
        Map.of("Content-Type", "application/json"),
        json.getBytes(StandardCharsets.UTF_8));
  }

  static void write(Socket socket, byte[] bytes) throws IOException {
    OutputStream output = socket.getOutputStream();
    output.write(bytes);
    output.flush();
  }

  static byte[] request(String method, String path, Map<String, String> headers, byte[] body) {
    StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
    headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
    head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    bytes.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
    bytes.writeBytes(body);
    return bytes.toByteArray();
  }

  private static Request readRequest(InputStream input) throws IOException {
    String first = line(input);
    if (first == null) {
      return null;
    }
    String[] parts = first.split(" ");
    Map<String, String> headers = headers(input);
    byte[] body = body(input, headers, new boolean[1]);
    return new Request(parts[0], parts[1], headers, body);
  }

  /** Reads a response whose body has a length or comes in chunks. */
  static Response readResponse(InputStream input) throws IOException {
    String first = line(input);
    if (first == null) {
      throw new IOException("the connection was closed without a response");
    }
    Map<String, String> headers = headers(input);
    boolean[] isWhole = {true};
    byte[] body = body(input, headers, isWhole);
    return new Response(Integer.parseInt(first.split(" ")[1]), headers, body, isWhole[0]);
  }

  private static Map<String, String> headers(InputStream input) throws IOException {
    Map<String, String> headers = new LinkedHashMap<>();
    for (String line = line(input); line != null && !line.isEmpty(); line = line(input)) {
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
    }
    return headers;
  }

  private static byte[] body(InputStream input, Map<String, String> headers, boolean[] isWhole)
      throws IOException {
    isWhole[0] = true;
    if (!headers.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
      int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
      byte[] body = input.readNBytes(length);
      isWhole[0] = body.length == length;
      return body;
    }
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    while (true) {
      String size = line(input);
      if (size == null) {
        isWhole[0] = false;
        return body.toByteArray();
      }
      int length = Integer.parseInt(size.strip(), 16);
      byte[] chunk = input.readNBytes(length);
      body.writeBytes(chunk);
      line(input);
      if (length == 0) {
        return body.toByteArray();
      }
      if (chunk.length < length) {
        isWhole[0] = false;
        return body.toByteArray();
      }
    }
  }

  private static String line(InputStream input) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int c = input.read(); c >= 0; c = input.read()) {
      if (c == '\n') {
        return line.toString();
      }
      if (c != '\r') {
        line.append((char) c);
      }
    }
    return null;
  }

  static Map<String, String> fields(String... namesAndValues) {
    Map<String, String> fields = new HashMap<>();
    for (int i = 0; i < namesAndValues.length; i += 2) {
      fields.put(namesAndValues[i], namesAndValues[i + 1]);
    }
    return fields;
  }
}
