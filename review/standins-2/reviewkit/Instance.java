package reviewkit;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One instance as a process of its own, started with the command of the deploy file. */
public final class Instance {
  private static final int RANGE_PORTS = 16;

  private final Path root;
  private final Path folder;
  private final int index;
  private final int firstPort;
  private final InetSocketAddress store;
  private final List<String> seeds;
  private Process process;

  private Instance(
      Path root, Path folder, int index, int firstPort, InetSocketAddress store, String seed) {
    this.root = root;
    this.folder = folder;
    this.index = index;
    this.firstPort = firstPort;
    this.store = store;
    this.seeds = List.of(seed);
  }

  /** Creates instances on loopback addresses of their own, with the same ports on each. */
  public static List<Instance> create(Path root, Path folder, int count, Store store)
      throws IOException {
    int port = freePorts(count);
    List<Instance> instances = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      instances.add(
          new Instance(
              root, folder, i, port, store.listen(host(i)), host(0) + ":" + (port + 2)));
    }
    return instances;
  }

  private static String host(int index) {
    return "127.0.0." + (20 + index);
  }

  /** Finds ports that are free on the addresses of all instances. */
  private static int freePorts(int count) throws IOException {
    for (int attempt = 0; attempt < 200; attempt++) {
      int first = 20_000 + (int) (Math.random() * 12_000);
      boolean isFree = true;
      for (int i = 0; i < count && isFree; i++) {
        for (int port = first; port < first + RANGE_PORTS + 3 && isFree; port++) {
          try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(InetAddress.getByName(host(i)), port));
          } catch (IOException e) {
            isFree = false;
          }
        }
      }
      if (isFree) {
        return first;
      }
    }
    throw new IOException("no free ports");
  }

  /** Returns the name. */
  public String name() {
    return "edge-" + index;
  }

  /** Returns the address for requesters. */
  public InetSocketAddress front() {
    return new InetSocketAddress(host(index), firstPort);
  }

  /** Returns the process id. */
  public long pid() {
    return process.pid();
  }

  /** Returns whether the process runs. */
  public boolean isAlive() {
    return process != null && process.isAlive();
  }

  /** Starts the process. */
  public void start() throws IOException {
    String host = host(index);
    Path settings = folder.resolve(name() + ".json");
    Files.writeString(
        settings,
        """
        {"node_name":"%s","role":"relay","machine_class":"edge","serves":["edge","control_plane"],
         "ip":"%s","zone":"zone-%d","region":"region",
         "zones":{"zone-0":"region","zone-1":"region","zone-2":"region"},
         "listen":{"front":"%s:%d","ready":"%s:%d","control":"%s:%d"},"port_range":[%d,%d],
         "seeds":["%s"],"bootstrap":true,"in_tolerance":false,
         "limits":{"cpu_share":0.75,"cpu_cores":1,"memory_mb":430,"max_fds":4100,"link_mbps":1000.0,
          "disk_mb":0},
         "data_dir":null,"discovery":"platform","entry":"vip","heartbeat_ms":1200,
         "contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants",
          "quota","rollout","places","platform"],
         "fault_tolerance":{"machines":1,"zones":1,"regions":0},
         "contract_bounds":{"seed_lag_s":3,"addr_reuse_s":2,"contact_ms":3000,"ack_ms":4000,
          "sync_s":4,"drain_ms":2000,"grace_s":8,"loss_slack_ms":200,"config_apply_ms":2000,
          "rollback_slack_ms":250,"skew_max_ms":5000,"strict_revoke":false,"revoke_ms":5000,
          "retry_budget_ratio":0.2,"budget_window_s":10,"retry_slack":56,"quota_window_s":8,
          "quota_overrun":0.1,"quota_slack":190000,"canary_share":0.1,"canary_slack":50,
          "rollback_ms":5000,"cold_overrun":1.5,"cold_slack":5,"evacuate_ms":5000,"recovery_s":12,
          "pass_ms":120,"reuse_window_s":10},
         "provider":{"address":"%s:%d","form":"kv","writes_per_s":400,"reads_per_s":2000,
          "history_s":20,"value_bytes":1048576,"ttl_min_ms":1000}}
        """
            .formatted(
                name(), host, index % 3, host, firstPort, host, firstPort + 1, host, firstPort + 2,
                firstPort + 3, firstPort + 3 + RANGE_PORTS - 1, seeds.get(0),
                store.getAddress().getHostAddress(), store.getPort()));
    ProcessBuilder builder = new ProcessBuilder(command());
    builder.directory(root.toFile());
    Map<String, String> environment = builder.environment();
    environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    environment.put("BUCKTHORNFERRY_NODE_FILE", settings.toAbsolutePath().toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(
        ProcessBuilder.Redirect.appendTo(folder.resolve(name() + ".log").toFile()));
    process = builder.start();
  }

  private List<String> command() throws IOException {
    String deploy = Files.readString(root.resolve("deploy/system.toml"));
    Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
    if (!run.find()) {
      throw new IOException("the deploy file has no command");
    }
    return List.of(run.group(1).split(" "));
  }

  /** Waits until the instance says that it is ready; returns whether it did in time. */
  public boolean awaitReady(long millis) {
    long endNanos = System.nanoTime() + millis * 1_000_000;
    while (System.nanoTime() < endNanos) {
      if (isReady()) {
        return true;
      }
      Run.sleep(20);
    }
    return false;
  }

  /** Returns whether the readiness check is answered with 200 within a second. */
  public boolean isReady() {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(host(index), firstPort + 1), 1_000);
      socket.setSoTimeout(1_000);
      Wire.write(
          socket.getOutputStream(),
          "GET /buckthornferry/readiness HTTP/1.1\r\nHost: ready\r\n\r\n");
      Wire.Head head = Wire.readHead(socket.getInputStream());
      return head != null && head.status() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  /** Sends SIGTERM to the process. */
  public void terminate() {
    process.destroy();
  }

  /** Ends the process with SIGKILL. */
  public void kill() {
    if (process != null) {
      process.destroyForcibly();
      try {
        process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
