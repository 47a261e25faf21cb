package org.buckthornferry.measure;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.buckthornferry.admission.Tier;
import org.buckthornferry.config.CustomerDeclaration;
import org.buckthornferry.config.Declarations;
import org.buckthornferry.config.EncodedRevision;
import org.buckthornferry.config.EndpointDeclaration;
import org.buckthornferry.config.FailureDomainDeclaration;
import org.buckthornferry.config.Publisher;
import org.buckthornferry.config.RouteDeclaration;
import org.buckthornferry.config.ServiceDeclaration;
import org.buckthornferry.config.ServiceKind;
import org.buckthornferry.config.TierDeclaration;
import org.buckthornferry.peer.Heartbeat;
import org.buckthornferry.peer.PeerCodec;

/**
 * Measures what membership and configuration cost, in virtual time: bytes between instances, the
 * time for a revision to be in force everywhere, and processor time. Bytes are those of frames with
 * their length prefix; TCP, IP and TLS add their own.
 *
 * <p>Arguments: the numbers of instances; without any, 8, 32, 128, 512 and 1,700.
 */
public final class PeerTrafficMeasurement {
  private static final int[] DEFAULT_SIZES = {8, 32, 128, 512, 1_700};

  /** The design size has 1,700 instances in 6 regions. */
  private static final int INSTANCES_PER_REGION = 284;

  private static final int DOMAINS_PER_REGION = 4;
  private static final int BOOT_SECONDS = 45;
  private static final int STEADY_SECONDS = 20;
  private static final int OUTAGE_SECONDS = 10;
  private static final int OWNERS_PER_DOMAIN = 8;
  private static final int SPREAD_TRIALS = 200;
  private static final int HEARTBEATS = 200_000;

  /** Strong reference, so that the level stays. */
  private static final Logger LOG = Logger.getLogger("org.buckthornferry");

  private PeerTrafficMeasurement() {}

  /** Prints the tables. */
  public static void main(String[] args) {
    LOG.setLevel(Level.OFF);
    int[] sizes =
        args.length == 0
            ? DEFAULT_SIZES
            : Arrays.stream(args).mapToInt(Integer::parseInt).toArray();
    printTraffic(sizes);
    printSpread(8);
    printSpread(128);
    printRevisionSize();
    printHeartbeatTime();
  }

  private static void print(String format, Object... values) {
    System.out.printf(Locale.ROOT, format + "%n", values);
  }

  private static long cpuNanos() {
    ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    return threads.getCurrentThreadCpuTime();
  }

  private static void printTraffic(int[] sizes) {
    print("Bytes per second and instance (frames with prefix), processor time of the controllers");
    print(
        "%9s %7s %10s %10s %10s %10s %12s %12s %10s",
        "instances",
        "regions",
        "sent",
        "sent, max",
        "received",
        "messages",
        "boot, worst",
        "store down",
        "core");
    for (int size : sizes) {
      printTraffic(size);
    }
    print("");
  }

  private static void printTraffic(int size) {
    int regions = Math.max(1, (size + INSTANCES_PER_REGION - 1) / INSTANCES_PER_REGION);
    VirtualFleet fleet = new VirtualFleet(size, 50);
    fleet.start(size, regions, DOMAINS_PER_REGION);
    publish(fleet, smallDeclarations(1));
    double worstBoot = 0;
    for (int second = 0; second < BOOT_SECONDS; second++) {
      fleet.resetCounters();
      fleet.runMillis(1_000);
      worstBoot = Math.max(worstBoot, (double) fleet.sentBytes() / size);
    }
    fleet.resetCounters();
    long startNanos = cpuNanos();
    fleet.runMillis(STEADY_SECONDS * 1_000L);
    final double core = (cpuNanos() - startNanos) / 1e9 / STEADY_SECONDS / size;
    double perInstance = (double) size * STEADY_SECONDS;
    final double sent = fleet.sentBytes() / perInstance;
    final double maxSent = (double) fleet.maxSentBytes() / STEADY_SECONDS;
    final double received = fleet.receivedBytes() / perInstance;
    final double messages = fleet.sentMessages() / perInstance;
    final double outage = measureOutage(fleet, regions) / size / OUTAGE_SECONDS;
    print(
        "%9d %7d %10.0f %10.0f %10.0f %10.1f %12.0f %12.0f %9.3f%%",
        size, regions, sent, maxSent, received, messages, worstBoot, outage, core * 100);
  }

  /** Returns the bytes sent while the store is down and the owners' calls to it fail. */
  private static double measureOutage(VirtualFleet fleet, int regions) {
    fleet.storeDown = true;
    int owners = Math.min(fleet.instances.size(), regions * DOMAINS_PER_REGION * OWNERS_PER_DOMAIN);
    fleet.runMillis(3_000);
    fleet.resetCounters();
    for (int step = 0; step < OUTAGE_SECONDS * 4; step++) {
      for (VirtualFleet.Instance owner : fleet.instances.subList(0, owners)) {
        owner.reachability.record(false);
      }
      fleet.runMillis(250);
    }
    return fleet.sentBytes();
  }

  private static void publish(VirtualFleet fleet, Declarations declarations) {
    Publisher publisher =
        new Publisher(
            fleet.store, new SplittableRandom(fleet.nowNanos()), task -> fleet.after(1, task));
    var unused = publisher.publish(declarations);
  }

  private static void printSpread(int size) {
    VirtualFleet fleet = new VirtualFleet(size, 10);
    fleet.lossPercent = 10;
    fleet.start(size, 1, 3);
    fleet.runMillis(20_000);
    List<Double> times = new ArrayList<>();
    for (int trial = 1; trial <= SPREAD_TRIALS; trial++) {
      long publishedNanos = fleet.nowNanos();
      publish(fleet, smallDeclarations(trial));
      while (!fleet.allHave(trial)) {
        fleet.runMillis(5);
      }
      times.add((fleet.nowNanos() - publishedNanos) / 1e6);
      fleet.runMillis(500);
    }
    Collections.sort(times);
    print(
        "Revision in force on %d instances with 10%% loss, %d changes: median %.0f ms, 99%% %.0f"
            + " ms, longest %.0f ms",
        size,
        SPREAD_TRIALS,
        times.get(SPREAD_TRIALS / 2),
        times.get(SPREAD_TRIALS * 99 / 100),
        times.get(SPREAD_TRIALS - 1));
  }

  private static Declarations smallDeclarations(int weight) {
    return new Declarations(
        List.of(new FailureDomainDeclaration("kol-a", "kol", false)),
        List.of(new CustomerDeclaration("c", "0".repeat(64), weight)),
        List.of(service("assistant", 6)));
  }

  private static ServiceDeclaration service(String id, int endpointCount) {
    List<EndpointDeclaration> endpoints = new ArrayList<>();
    for (int i = 0; i < endpointCount; i++) {
      endpoints.add(
          new EndpointDeclaration(
              id + "-" + i,
              "10." + i / 65_536 + "." + i / 256 % 256 + "." + i % 256 + ":8000",
              "region-" + i % 6 + "-" + (char) ('a' + i % 4),
              "v1",
              "h" + i % 5,
              32,
              4,
              i % 3 != 0));
    }
    return new ServiceDeclaration(
        id,
        ServiceKind.MODEL,
        "v1",
        List.of(new RouteDeclaration("/" + id, Tier.STANDARD, true, 500, 200)),
        List.of(new TierDeclaration(Tier.STANDARD, 60_000, 30_000)),
        endpoints,
        Optional.empty());
  }

  private static void printRevisionSize() {
    SplittableRandom random = new SplittableRandom(1);
    List<CustomerDeclaration> customers = new ArrayList<>();
    for (int i = 0; i < 4_300; i++) {
      String key =
          String.format(
              "%016x%016x%016x%016x",
              random.nextLong(), random.nextLong(), random.nextLong(), random.nextLong());
      customers.add(new CustomerDeclaration("customer-" + i, key, 1 + i % 7));
    }
    List<FailureDomainDeclaration> domains = new ArrayList<>();
    for (int i = 0; i < 21; i++) {
      domains.add(new FailureDomainDeclaration("domain-" + i, "region-" + i % 6, false));
    }
    Declarations declarations =
        new Declarations(
            domains,
            customers,
            List.of(service("m1", 3_334), service("m2", 3_333), service("m3", 3_333)));
    EncodedRevision revision = EncodedRevision.NONE.next("a", declarations);
    double bytesPerSecond = revision.bytes().length * 24_000.0 / 86_400;
    print(
        "Revision at the design size (10,000 endpoints, 4,300 customers): %d bytes; 24,000 changes"
            + " a day are %.0f bytes/s to each instance",
        revision.bytes().length, bytesPerSecond);
  }

  private static void printHeartbeatTime() {
    VirtualFleet fleet = new VirtualFleet(1, 50);
    fleet.start(INSTANCES_PER_REGION, 1, DOMAINS_PER_REGION);
    publish(fleet, smallDeclarations(1));
    fleet.runMillis(20_000);
    VirtualFleet.Instance receiver = fleet.instances.get(0);
    double decodeNanos = 0;
    double handleNanos = 0;
    byte[] payload = new byte[0];
    // The first round warms the compiler up and is not reported.
    for (int round = 0; round < 2; round++) {
      payload = PeerCodec.encode(heartbeat(0));
      long decodeStart = cpuNanos();
      for (int i = 0; i < HEARTBEATS; i++) {
        PeerCodec.decode(payload);
      }
      decodeNanos = (double) (cpuNanos() - decodeStart) / HEARTBEATS;
      List<Heartbeat> heartbeats = new ArrayList<>();
      for (int i = 0; i < HEARTBEATS; i++) {
        heartbeats.add(heartbeat(round * HEARTBEATS + i));
      }
      long handleStart = cpuNanos();
      for (Heartbeat heartbeat : heartbeats) {
        receiver.membership.onMessage("entry-1", heartbeat, fleet.nowNanos());
        receiver.config.onMessage("entry-1", heartbeat, fleet.nowNanos());
      }
      handleNanos = (double) (cpuNanos() - handleStart) / HEARTBEATS;
    }
    print(
        "Heartbeat of %d bytes without changes, region of %d: decode %.0f ns, handle %.0f ns",
        payload.length + 4, INSTANCES_PER_REGION, decodeNanos, handleNanos);
  }

  private static Heartbeat heartbeat(int sequence) {
    return new Heartbeat(
        1_790_000_000_001L,
        0,
        1_000_000L + sequence,
        false,
        true,
        500,
        1,
        0,
        0x12345678,
        List.of(),
        List.of(),
        List.of());
  }
}
