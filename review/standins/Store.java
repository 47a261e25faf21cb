import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A stand-in of the platform's store: ranges, watches, transactions and leases as the platform's
 * pages describe them. It can cut watches that wait.
 */
final class Store {
  private static final int PAGE_ITEMS = 500;
  private static final Pattern CONDITION =
      Pattern.compile("\\{\"key\":\"([^\"]*)\",\"revision\":(\\d+)\\}");
  private static final Pattern WRITE =
      Pattern.compile("\\{\"key\":\"([^\"]*)\",\"value\":\"([^\"]*)\",\"lease\":(\\d+)\\}");
  private static final Pattern REMOVALS = Pattern.compile("\"remove\":\\[([^\\]]*)\\]");
  private static final Pattern TTL = Pattern.compile("\"ttl_ms\":(\\d+)");

  private final Http.Server server;
  private final TreeMap<String, Item> items = new TreeMap<>();
  private final List<Item> history = new ArrayList<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  private long revision = 100;
  private long nextLease = 7_000;
  private volatile long cutWaitingWatchesMillis;
  private volatile long cutWatches;

  private record Item(String key, byte[] value, long revision, long created, long lease) {}

  private static final class Lease {
    private final long ttlMillis;
    private long untilNanos;

    private Lease(long ttlMillis) {
      this.ttlMillis = ttlMillis;
      renew();
    }

    private void renew() {
      untilNanos = System.nanoTime() + ttlMillis * 1_000_000;
    }
  }

  Store() throws IOException {
    server = new Http.Server(this::handle);
    Http.daemon(this::expireLeases);
  }

  String address() {
    return server.address();
  }

  /** Cuts each watch that has waited for so long without an event; 0 cuts none. */
  void cutWaitingWatchesAfter(long millis) {
    cutWaitingWatchesMillis = millis;
  }

  long cutWatches() {
    return cutWatches;
  }

  /** Writes as the operator or a worker does; the change is in force when this returns. */
  synchronized void put(String key, String value) {
    revision++;
    put(key, value.getBytes(StandardCharsets.UTF_8), 0);
    notifyAll();
  }

  synchronized void remove(String key) {
    revision++;
    removeKey(key);
    notifyAll();
  }

  synchronized boolean contains(String key) {
    return items.containsKey(key);
  }

  synchronized int count(String prefix) {
    return items.subMap(prefix, prefix + '\uffff').size();
  }

  private void put(String key, byte[] value, long lease) {
    Item last = items.get(key);
    Item item = new Item(key, value, revision, last == null ? revision : last.created, lease);
    items.put(key, item);
    history.add(item);
  }

  private void removeKey(String key) {
    if (items.remove(key) != null) {
      history.add(new Item(key, null, revision, 0, 0));
    }
  }

  private void expireLeases() {
    while (true) {
      try {
        Thread.sleep(20);
      } catch (InterruptedException e) {
        return;
      }
      synchronized (this) {
        long now = System.nanoTime();
        List<Long> ended = new ArrayList<>();
        leases.forEach(
            (id, lease) -> {
              if (lease.untilNanos - now <= 0) {
                ended.add(id);
              }
            });
        ended.forEach(this::end);
      }
    }
  }

  private synchronized void end(long lease) {
    if (leases.remove(lease) == null) {
      return;
    }
    List<String> keys = new ArrayList<>();
    items.values().forEach(item -> addIf(item.lease == lease, keys, item.key));
    if (!keys.isEmpty()) {
      revision++;
      keys.forEach(this::removeKey);
      notifyAll();
    }
  }

  private static void addIf(boolean condition, List<String> list, String value) {
    if (condition) {
      list.add(value);
    }
  }

  private boolean handle(Http.Request request, Socket socket) throws IOException {
    String path = request.path();
    if (path.equals("/buckthornferry/kv-range")) {
      return Http.respondJson(socket, 200, range(request));
    } else if (path.equals("/buckthornferry/kv-key")) {
      return key(request, socket);
    } else if (path.equals("/buckthornferry/kv-watch")) {
      return watch(request, socket);
    } else if (path.equals("/buckthornferry/kv-txn")) {
      return transact(request, socket);
    } else if (path.equals("/buckthornferry/kv-lease")) {
      Matcher ttl = TTL.matcher(new String(request.body(), StandardCharsets.UTF_8));
      long millis = Math.max(1_000, ttl.find() ? Long.parseLong(ttl.group(1)) : 1_000);
      synchronized (this) {
        long id = nextLease++;
        leases.put(id, new Lease(millis));
        return Http.respondJson(socket, 200, "{\"lease\":" + id + ",\"ttl_ms\":" + millis + "}");
      }
    }
    long lease = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
    synchronized (this) {
      Lease known = leases.get(lease);
      if (known == null) {
        return Http.respondJson(socket, 404, "{}");
      }
      if (path.startsWith("/buckthornferry/kv-keep/")) {
        known.renew();
      } else {
        end(lease);
      }
      return Http.respondJson(socket, 200, "{\"ttl_ms\":" + known.ttlMillis + "}");
    }
  }

  private synchronized String range(Http.Request request) {
    String prefix = request.query("path_prefix");
    String after = request.query("after");
    StringBuilder list = new StringBuilder();
    int count = 0;
    boolean hasMore = false;
    for (Item item : items.values()) {
      if (!item.key.startsWith(prefix) || item.key.compareTo(after) <= 0) {
        continue;
      }
      if (count == PAGE_ITEMS) {
        hasMore = true;
        break;
      }
      list.append(count++ == 0 ? "" : ",").append(json(item));
    }
    return "{\"items\":[" + list + "],\"more_pages\":" + hasMore + ",\"store_revision\":" + revision
        + "}";
  }

  private boolean key(Http.Request request, Socket socket) throws IOException {
    Item item;
    long at;
    synchronized (this) {
      item = items.get(request.query("key"));
      at = revision;
    }
    if (item == null) {
      return Http.respondJson(socket, 404, "{\"store_revision\":" + at + "}");
    }
    String json = json(item);
    return Http.respondJson(
        socket, 200, json.substring(0, json.length() - 1) + ",\"store_revision\":" + at + "}");
  }

  private boolean watch(Http.Request request, Socket socket) throws IOException {
    String prefix = request.query("path_prefix");
    long after = Long.parseLong(request.query("after"));
    long waitMillis = Math.min(30_000, Long.parseLong(request.query("wait_ms")));
    long startNanos = System.nanoTime();
    while (true) {
      String answer;
      synchronized (this) {
        String events = events(prefix, after);
        long waitedMillis = (System.nanoTime() - startNanos) / 1_000_000;
        boolean isOver = waitedMillis >= waitMillis;
        long cutMillis = cutWaitingWatchesMillis;
        if (events.isEmpty() && !isOver && cutMillis > 0 && waitedMillis >= cutMillis) {
          cutWatches++;
          return false;
        }
        if (events.isEmpty() && !isOver) {
          try {
            wait(Math.max(1, Math.min(20, waitMillis - waitedMillis)));
          } catch (InterruptedException e) {
            return false;
          }
          continue;
        }
        answer = "{\"events\":[" + events + "],\"store_revision\":" + revision + "}";
      }
      return Http.respondJson(socket, 200, answer);
    }
  }

  private String events(String prefix, long after) {
    StringBuilder list = new StringBuilder();
    for (Item item : history) {
      if (item.revision > after && item.key.startsWith(prefix)) {
        list.append(list.length() == 0 ? "" : ",").append(json(item));
      }
    }
    return list.toString();
  }

  private synchronized boolean transact(Http.Request request, Socket socket) throws IOException {
    String body = new String(request.body(), StandardCharsets.UTF_8);
    for (Matcher condition = CONDITION.matcher(body); condition.find(); ) {
      Item item = items.get(condition.group(1));
      long current = item == null ? 0 : item.revision;
      if (current != Long.parseLong(condition.group(2))) {
        String known = item == null ? "" : json(item);
        return Http.respondJson(socket, 412, "{\"items\":[" + known + "]}");
      }
    }
    List<Item> writes = new ArrayList<>();
    for (Matcher write = WRITE.matcher(body); write.find(); ) {
      long lease = Long.parseLong(write.group(3));
      if (lease != 0 && !leases.containsKey(lease)) {
        return Http.respondJson(socket, 404, "{}");
      }
      byte[] value = Base64.getDecoder().decode(write.group(2).replace("\\/", "/"));
      writes.add(new Item(write.group(1), value, 0, 0, lease));
    }
    revision++;
    writes.forEach(write -> put(write.key, write.value, write.lease));
    Matcher removals = REMOVALS.matcher(body);
    if (removals.find() && !removals.group(1).isBlank()) {
      for (String key : removals.group(1).split(",")) {
        removeKey(key.strip().replace("\"", ""));
      }
    }
    notifyAll();
    return Http.respondJson(socket, 200, "{\"revision\":" + revision + "}");
  }

  private static String json(Item item) {
    if (item.value == null) {
      return "{\"key\":\"" + item.key + "\",\"revision\":" + item.revision + ",\"deleted\":true}";
    }
    return "{\"key\":\"" + item.key + "\",\"value\":\""
        + Base64.getEncoder().encodeToString(item.value) + "\",\"revision\":" + item.revision
        + ",\"create_revision\":" + item.created + ",\"lease\":" + item.lease + "}";
  }
}
