package reviewkit;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stand-in of a worker. It checks the expected instance and registers itself, with a heartbeat. Its
 * script writes the answers.
 */
public final class Worker {
  private static final long HEARTBEAT_MILLIS = 1_200;

  /** Writes the answer to one request; returns whether the channel stays open. */
  @FunctionalInterface
  public interface Script {
    /** Writes the answer. */
    boolean answer(Wire.Head head, byte[] body, OutputStream output) throws IOException;
  }

  private final Store store;
  private final String id;
  private final String service;
  private final String zone;
  private final int capacity;
  private final Script script;
  private final ServerSocket server;
  private final long bornMillis = System.currentTimeMillis();
  private final Set<Socket> channels = ConcurrentHashMap.newKeySet();
  private final AtomicInteger healthChecks = new AtomicInteger();
  private volatile long coldUntilNanos = System.nanoTime();
  private volatile boolean isLeaving;
  private volatile boolean isStopped;
  private int sequence;

  /** Creates a worker that listens and is registered. */
  public Worker(
      Store store, String id, String service, String zone, int capacity, Script script)
      throws IOException {
    this.store = store;
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.capacity = capacity;
    this.script = script;
    server = new ServerSocket();
    server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 200);
    start(this::accept);
    start(this::beat);
  }

  /** Returns the id. */
  public String id() {
    return id;
  }

  private static void start(Runnable task) {
    Thread thread = new Thread(task, "worker");
    thread.setDaemon(true);
    thread.start();
  }

  /**
   * Makes a heartbeat whose write is done later and not answered, as the store may do; the next
   * ones come at their times.
   */
  public synchronized void beatLate(long delayMillis) {
    sequence++;
    String entry = entry();
    start(
        () -> {
          Run.sleep(delayMillis);
          store.put("servers/" + id, entry);
        });
  }

  /** Reports that it leaves, and says so in its answers; it goes on serving. */
  public void drain() {
    isLeaving = true;
    register();
  }

  /** Returns the header field by which a leaving worker says so, or nothing. */
  public String leavingField() {
    return isLeaving ? "Server-Leaving: 1\r\n" : "";
  }

  /** Becomes cold for a time, and says so in its entry and in its health responses. */
  public void becomeCold(long millis) {
    coldUntilNanos = System.nanoTime() + millis * 1_000_000;
    register();
  }

  /** Returns how often its health was asked for. */
  public int healthChecks() {
    return healthChecks.get();
  }

  private long coldMillis() {
    return Math.max(0, (coldUntilNanos - System.nanoTime()) / 1_000_000);
  }

  private void beat() {
    while (!isStopped) {
      register();
      Run.sleep(HEARTBEAT_MILLIS);
    }
  }

  private synchronized void register() {
    sequence++;
    store.put("servers/" + id, entry());
  }

  private String entry() {
    return "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"%s\",\"version\":\"v1\",\"capacity\":%d,\"state\":\"%s\",\"cold_left_ms\":%d,\"sequence\":%d,\"born\":%d}"
        .formatted(
            service,
            server.getLocalPort(),
            zone,
            capacity,
            isLeaving ? "draining" : "ready",
            coldMillis(),
            sequence,
            bornMillis);
  }

  /** Ends the worker as a crash of its process does: it says nothing, and its channels break. */
  public void crash() throws IOException {
    isStopped = true;
    server.close();
    for (Socket channel : channels) {
      channel.setSoLinger(true, 0);
      channel.close();
    }
  }

  private void accept() {
    while (!isStopped) {
      try {
        Socket socket = server.accept();
        channels.add(socket);
        start(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      InputStream input = new BufferedInputStream(socket.getInputStream());
      OutputStream output = new BufferedOutputStream(socket.getOutputStream(), 65_536);
      while (true) {
        Wire.Head head = Wire.readHead(input);
        if (head == null) {
          return;
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        Wire.readBody(head, input, (part, length) -> body.write(part, 0, length));
        if (!answer(head, body.toByteArray(), output)) {
          return;
        }
      }
    } catch (IOException e) {
      // The instance has closed the channel, or the worker has crashed.
      return;
    } finally {
      channels.remove(socket);
    }
  }

  private boolean answer(Wire.Head head, byte[] body, OutputStream output) throws IOException {
    String expected = head.header("X-Buckthornferry-Expect-Instance");
    if (!expected.isEmpty() && !expected.equals(id)) {
      Wire.write(
          output,
          "HTTP/1.1 421 Misdirected Request\r\nX-Buckthornferry-Attempt-Id: "
              + head.header("X-Buckthornferry-Attempt-Id")
              + "\r\nX-Buckthornferry-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
      return true;
    }
    if (head.firstLine().startsWith("GET /health ")) {
      healthChecks.incrementAndGet();
      Wire.write(
          output,
          "HTTP/1.1 200 OK\r\nX-Buckthornferry-Instance-Id: %s\r\nX-Buckthornferry-Cold-Ms: %d\r\nContent-Length: 0\r\n\r\n"
              .formatted(id, coldMillis()));
      return true;
    }
    return script.answer(head, body, output);
  }

  /** Returns the head of a successful answer with a length. */
  public static String okHead(Wire.Head request, long length) {
    return "HTTP/1.1 200 OK\r\nX-Buckthornferry-Attempt-Id: "
        + request.header("X-Buckthornferry-Attempt-Id")
        + "\r\nX-Buckthornferry-Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"
        + (length < 0 ? "Transfer-Encoding: chunked\r\n" : "Content-Length: " + length + "\r\n")
        + "\r\n";
  }
}
