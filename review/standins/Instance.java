import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One instance of the project, started with the command of the deploy file. */
final class Instance {
  /** Front, readiness, control and the free range of one instance. */
  private static final int PORTS = 8;

  private final String name;
  private final String zone;
  private final int firstPort;
  private final Path settings;
  private final Path log;
  private Process process;

  Instance(String name, String zone, Path folder) throws IOException {
    this.name = name;
    this.zone = zone;
    this.firstPort = freePorts();
    this.settings = folder.resolve(name + ".json");
    this.log = folder.resolve(name + ".out");
  }

  String name() {
    return name;
  }

  InetSocketAddress front() {
    return new InetSocketAddress("127.0.0.1", firstPort);
  }

  InetSocketAddress readiness() {
    return new InetSocketAddress("127.0.0.1", firstPort + 1);
  }

  String control() {
    return "127.0.0.1:" + (firstPort + 2);
  }

  Process process() {
    return process;
  }

  Path log() {
    return log;
  }

  /** Writes the settings file; the bounds are those of the sheet. */
  void writeSettings(String storeAddress, List<String> seeds) throws IOException {
    String seedList = seeds.isEmpty() ? "" : "\"" + String.join("\",\"", seeds) + "\"";
    Files.writeString(
        settings,
        """
        {"node_name":"%s","role":"relay","machine_class":"edge",
         "serves":["edge","control_plane"],"ip":"127.0.0.1","zone":"%s","region":"ne-br",
         "zones":{"recife-a":"ne-br","fortaleza-b":"ne-br","natal-c":"ne-br"},
         "listen":{"front":"127.0.0.1:%d","ready":"127.0.0.1:%d","control":"127.0.0.1:%d"},
         "port_range":[%d,%d],"seeds":[%s],"bootstrap":true,"in_tolerance":false,
         "limits":{"cpu_share":0.75,"cpu_cores":1,"memory_mb":430,"max_fds":4100,
          "link_mbps":1000.0,"disk_mb":0},
         "data_dir":null,"discovery":"platform","entry":"vip","heartbeat_ms":1200,
         "contracts":["base","drain","config","cost","retry","recover","engine","stream",
          "tenants","quota","rollout","places","platform"],
         "fault_tolerance":{"machines":1,"zones":1,"regions":0},
         "contract_bounds":{"seed_lag_s":3,"addr_reuse_s":2,"contact_ms":3000,"ack_ms":4000,
          "sync_s":4,"drain_ms":2000,"grace_s":8,"loss_slack_ms":200,"config_apply_ms":2000,
          "rollback_slack_ms":250,"skew_max_ms":5000,"strict_revoke":false,"revoke_ms":5000,
          "retry_budget_ratio":0.2,"budget_window_s":10,"retry_slack":56,"quota_window_s":8,
          "quota_overrun":0.1,"quota_slack":190000,"canary_share":0.1,"canary_slack":50,
          "rollback_ms":5000,"cold_overrun":1.5,"cold_slack":5,"evacuate_ms":5000,
          "recovery_s":12,"pass_ms":120,"reuse_window_s":10},
         "provider":{"address":"%s","form":"kv","writes_per_s":400,"reads_per_s":2000,
          "history_s":20,"value_bytes":1048576,"ttl_min_ms":1000}}
        """
            .formatted(
                name, zone, firstPort, firstPort + 1, firstPort + 2, firstPort + 3,
                firstPort + 7, seedList, storeAddress));
  }

  /** Starts the process with the variables that the platform passes on. */
  void start() throws IOException {
    ProcessBuilder builder = new ProcessBuilder(runCommand());
    Map<String, String> environment = builder.environment();
    environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    environment.put("BUCKTHORNFERRY_NODE_FILE", settings.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
    process = builder.start();
  }

  /** Sends a signal to this process. */
  void signal(String signalName) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + signalName, Long.toString(process.pid())).start().waitFor();
  }

  void kill() {
    if (process != null) {
      process.destroyForcibly();
      try {
        process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  private static List<String> runCommand() throws IOException {
    Matcher run =
        Pattern.compile("(?m)^run = \"(.*)\"$")
            .matcher(Files.readString(Path.of("deploy/system.toml")));
    if (!run.find()) {
      throw new IOException("deploy/system.toml names no run command");
    }
    return new ArrayList<>(List.of(run.group(1).split(" ")));
  }

  /** Finds ports in a row that are free now, below the range of outgoing connections. */
  private static int freePorts() throws IOException {
    for (int attempt = 0; attempt < 200; attempt++) {
      int first = ThreadLocalRandom.current().nextInt(12_000, 31_000);
      if (areFree(first)) {
        return first;
      }
    }
    throw new IOException("no free ports");
  }

  private static boolean areFree(int first) {
    for (int port = first; port < first + PORTS; port++) {
      try (ServerSocket probe = new ServerSocket()) {
        probe.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port));
      } catch (IOException e) {
        return false;
      }
    }
    return true;
  }
}
