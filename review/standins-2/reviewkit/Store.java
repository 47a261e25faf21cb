package reviewkit;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * Stand-in of the platform's store: ranges, watches, transactions and leases that expire. It has a
 * listening address for each instance, so that a case can keep it from one of them.
 */
public final class Store {
  private static final int PAGE_ITEMS = 500;

  private record Item(
      String key, byte[] value, long revision, long createRevision, long lease) {}

  private final ExecutorService threads =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task, "store");
            thread.setDaemon(true);
            return thread;
          });
  private final List<HttpServer> servers = new ArrayList<>();
  private final TreeMap<String, Item> items = new TreeMap<>();
  private final List<Item> history = new ArrayList<>();
  private final Map<Long, Long> leaseEndNanos = new HashMap<>();
  private final Map<Long, Long> leaseTtlMillis = new HashMap<>();
  private long revision = 100;
  private long nextLease = 1;
  private volatile boolean isDown;

  /** Creates a store and starts the expiry of its leases. */
  public Store() {
    threads.execute(this::expireLeases);
  }

  /** Listens on a free port of a loopback address and returns it. */
  public InetSocketAddress listen(String host) throws IOException {
    HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getByName(host), 0), 0);
    server.createContext("/", this::handle);
    server.setExecutor(threads);
    server.start();
    servers.add(server);
    return server.getAddress();
  }

  /** Stops listening. */
  public void stop() {
    servers.forEach(server -> server.stop(0));
    threads.shutdownNow();
  }

  /** Lets all calls fail with 503 from now on, or no more. */
  public synchronized void setDown(boolean down) {
    if (isDown && !down) {
      leaseEndNanos.replaceAll(
          (lease, endNanos) -> System.nanoTime() + leaseTtlMillis.get(lease) * 1_000_000);
    }
    isDown = down;
    notifyAll();
  }

  /** Writes an item as the operator or a worker does; returns its revision, or 0 while down. */
  public synchronized long put(String key, String value) {
    if (isDown) {
      return 0;
    }
    revision++;
    write(key, value.getBytes(StandardCharsets.UTF_8), 0);
    notifyAll();
    return revision;
  }

  /** Removes an item. */
  public synchronized void remove(String key) {
    revision++;
    delete(key);
    notifyAll();
  }

  /** Returns the keys under a prefix. */
  public synchronized List<String> keys(String prefix) {
    return items.keySet().stream().filter(key -> key.startsWith(prefix)).toList();
  }

  private void write(String key, byte[] value, long lease) {
    Item known = items.get(key);
    long created = known == null ? revision : known.createRevision;
    Item item = new Item(key, value, revision, created, lease);
    items.put(key, item);
    history.add(item);
  }

  private void delete(String key) {
    if (items.remove(key) != null) {
      history.add(new Item(key, null, revision, 0, 0));
    }
  }

  private void expireLeases() {
    while (true) {
      try {
        Thread.sleep(50);
      } catch (InterruptedException e) {
        return;
      }
      synchronized (this) {
        List<Long> ended = new ArrayList<>();
        leaseEndNanos.forEach(
            (lease, endNanos) -> {
              // Leases pause while the store is down.
              if (!isDown && endNanos - System.nanoTime() < 0) {
                ended.add(lease);
              }
            });
        ended.forEach(this::endLease);
      }
    }
  }

  private void endLease(long lease) {
    leaseEndNanos.remove(lease);
    List<String> keys =
        items.values().stream().filter(item -> item.lease == lease).map(Item::key).toList();
    if (!keys.isEmpty()) {
      revision++;
      keys.forEach(this::delete);
      notifyAll();
    }
  }

  private void handle(HttpExchange exchange) throws IOException {
    String path = exchange.getRequestURI().getPath();
    Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
    String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
    try {
      if (isDown) {
        respond(exchange, 503, "{}");
      } else if (path.equals("/buckthornferry/kv-range")) {
        respond(exchange, 200, range(query));
      } else if (path.equals("/buckthornferry/kv-watch")) {
        watch(exchange, query);
      } else if (path.equals("/buckthornferry/kv-txn")) {
        transact(exchange, Json.object(body));
      } else if (path.equals("/buckthornferry/kv-lease")) {
        respond(exchange, 200, grant(Json.object(body)));
      } else if (path.startsWith("/buckthornferry/kv-keep/")) {
        boolean isKept = keep(Long.parseLong(path.substring(path.lastIndexOf('/') + 1)));
        respond(exchange, isKept ? 200 : 404, "{}");
      } else if (path.startsWith("/buckthornferry/kv-lease-end/")) {
        synchronized (this) {
          endLease(Long.parseLong(path.substring(path.lastIndexOf('/') + 1)));
        }
        respond(exchange, 200, "{}");
      } else {
        respond(exchange, 404, "{}");
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      exchange.close();
    }
  }

  private static Map<String, String> query(String raw) {
    Map<String, String> fields = new HashMap<>();
    if (raw != null) {
      for (String part : raw.split("&")) {
        int equals = part.indexOf('=');
        fields.put(
            part.substring(0, equals),
            URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
      }
    }
    return fields;
  }

  private synchronized String range(Map<String, String> query) {
    String prefix = query.getOrDefault("path_prefix", "");
    String after = query.getOrDefault("after", "");
    List<String> page = new ArrayList<>();
    boolean more = false;
    for (Item item : items.values()) {
      if (!item.key.startsWith(prefix) || item.key.compareTo(after) <= 0) {
        continue;
      }
      if (page.size() == PAGE_ITEMS) {
        more = true;
        break;
      }
      page.add(encode(item));
    }
    return "{\"items\":["
        + String.join(",", page)
        + "],\"more_pages\":"
        + more
        + ",\"store_revision\":"
        + revision
        + "}";
  }

  private void watch(HttpExchange exchange, Map<String, String> query)
      throws IOException, InterruptedException {
    String prefix = query.getOrDefault("path_prefix", "");
    long after = Long.parseLong(query.getOrDefault("after", "0"));
    long endNanos =
        System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000;
    String reply;
    synchronized (this) {
      while (true) {
        if (isDown) {
          respond(exchange, 503, "{}");
          return;
        }
        List<String> events = new ArrayList<>();
        for (Item item : history) {
          if (item.revision > after && item.key.startsWith(prefix)) {
            events.add(encode(item));
          }
        }
        long leftMillis = (endNanos - System.nanoTime()) / 1_000_000;
        if (!events.isEmpty() || leftMillis <= 0) {
          reply =
              "{\"events\":[" + String.join(",", events) + "],\"store_revision\":" + revision + "}";
          break;
        }
        wait(leftMillis);
      }
    }
    respond(exchange, 200, reply);
  }

  @SuppressWarnings("unchecked")
  private void transact(HttpExchange exchange, Map<String, Object> body) throws IOException {
    int status = 200;
    String reply;
    synchronized (this) {
      List<String> conflicts = new ArrayList<>();
      for (Object row : (List<Object>) body.getOrDefault("if_rev", List.of())) {
        Map<String, Object> condition = (Map<String, Object>) row;
        Item item = items.get((String) condition.get("key"));
        long current = item == null ? 0 : item.revision;
        if (current != ((Double) condition.get("revision")).longValue()) {
          conflicts.add(
              item == null
                  ? "{\"key\":" + Json.quote((String) condition.get("key")) + ",\"revision\":0}"
                  : encode(item));
        }
      }
      List<Object> writes = (List<Object>) body.getOrDefault("writes", List.of());
      boolean isLeaseGone = false;
      for (Object row : writes) {
        long lease = lease((Map<String, Object>) row);
        isLeaseGone |= lease != 0 && !leaseEndNanos.containsKey(lease);
      }
      if (!conflicts.isEmpty()) {
        status = 412;
        reply = "{\"items\":[" + String.join(",", conflicts) + "]}";
      } else if (isLeaseGone) {
        status = 404;
        reply = "{}";
      } else {
        revision++;
        for (Object row : writes) {
          Map<String, Object> write = (Map<String, Object>) row;
          write(
              (String) write.get("key"),
              Base64.getDecoder().decode((String) write.get("value")),
              lease(write));
        }
        for (Object key : (List<Object>) body.getOrDefault("remove", List.of())) {
          delete((String) key);
        }
        notifyAll();
        reply = "{\"revision\":" + revision + "}";
      }
    }
    respond(exchange, status, reply);
  }

  private static long lease(Map<String, Object> write) {
    Object lease = write.get("lease");
    return lease == null ? 0 : ((Double) lease).longValue();
  }

  private synchronized String grant(Map<String, Object> body) {
    long ttlMillis = Math.max(1_000, ((Double) body.get("ttl_ms")).longValue());
    long lease = nextLease++;
    leaseTtlMillis.put(lease, ttlMillis);
    leaseEndNanos.put(lease, System.nanoTime() + ttlMillis * 1_000_000);
    return "{\"lease\":" + lease + ",\"ttl_ms\":" + ttlMillis + "}";
  }

  private synchronized boolean keep(long lease) {
    if (!leaseEndNanos.containsKey(lease)) {
      return false;
    }
    leaseEndNanos.put(lease, System.nanoTime() + leaseTtlMillis.get(lease) * 1_000_000);
    return true;
  }

  private static String encode(Item item) {
    if (item.value == null) {
      return "{\"key\":"
          + Json.quote(item.key)
          + ",\"revision\":"
          + item.revision
          + ",\"deleted\":true}";
    }
    return "{\"key\":"
        + Json.quote(item.key)
        + ",\"value\":\""
        + Base64.getEncoder().encodeToString(item.value)
        + "\",\"revision\":"
        + item.revision
        + ",\"create_revision\":"
        + item.createRevision
        + ",\"lease\":"
        + item.lease
        + "}";
  }

  private static void respond(HttpExchange exchange, int status, String body) throws IOException {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(status, bytes.length);
    exchange.getResponseBody().write(bytes);
  }
}
