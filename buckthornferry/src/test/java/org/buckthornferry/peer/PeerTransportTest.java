package org.buckthornferry.peer;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.KeyStore;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.buckthornferry.util.MonotonicClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Uses real loopback connections. Wait limits are generous, so that no result depends on timing.
 */
class PeerTransportTest {
  private static final long WAIT_SECONDS = 30;
  private static final char[] PASSWORD = "changeit".toCharArray();

  private final Map<String, InetSocketAddress> addresses = new ConcurrentHashMap<>();
  private final List<PeerTransport> started = new ArrayList<>();

  private record Received(String from, PeerMessage message) {}

  private static final class Endpoint {
    final BlockingQueue<Received> inbox = new LinkedBlockingQueue<>();
    final MetricRegistry metrics = new MetricRegistry();
    PeerTransport transport;

    Received next() throws InterruptedException {
      Received received = inbox.poll(WAIT_SECONDS, TimeUnit.SECONDS);
      assertThat(received).isNotNull();
      return received;
    }

    long count(String name) {
      return metrics.counter(name).getCount();
    }
  }

  private static InetSocketAddress loopback(int port) {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
  }

  private Endpoint start(String id, int port, Optional<PeerTls> tls) {
    Endpoint endpoint = new Endpoint();
    endpoint.transport =
        new PeerTransport(
            new Hello(id, 1, "kol-a"),
            loopback(port),
            tls,
            false,
            peer -> Optional.ofNullable(addresses.get(peer)),
            (from, message) -> endpoint.inbox.add(new Received(from, message)),
            endpoint.metrics,
            MonotonicClock.SYSTEM,
            new Random(1));
    addresses.put(id, endpoint.transport.start());
    started.add(endpoint.transport);
    return endpoint;
  }

  @AfterEach
  void stopAll() {
    started.forEach(PeerTransport::stop);
  }

  private static ConfigRequest message(long revision) {
    return new ConfigRequest(revision, 0, false, 0);
  }

  private static void await(BooleanSupplier condition) {
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
    while (!condition.getAsBoolean() && System.nanoTime() - deadline < 0) {
      Thread.onSpinWait();
    }
    assertThat(condition.getAsBoolean()).isTrue();
  }

  /** Guards delivery in both directions with the sender's verified id, and the counters. */
  @Test
  void messagesArriveWithTheIdOfTheSender() throws InterruptedException {
    Endpoint a = start("a", 0, Optional.empty());
    Endpoint b = start("b", 0, Optional.empty());
    a.transport.send("b", message(1));
    assertThat(b.next()).isEqualTo(new Received("a", message(1)));
    b.transport.send("a", message(2));
    assertThat(a.next()).isEqualTo(new Received("b", message(2)));
    assertThat(a.count("peer.messages.sent")).isEqualTo(1);
    int frameBytes = PeerCodec.encode(message(1)).length + FrameDecoder.PREFIX_BYTES;
    assertThat(a.count("peer.bytes.sent")).isEqualTo(frameBytes);
  }

  /** Guards the largest configuration reply, which exceeds the write-buffer high-water mark. */
  @Test
  void largestConfigReplyArrives() throws InterruptedException {
    Endpoint a = start("a", 0, Optional.empty());
    Endpoint b = start("b", 0, Optional.empty());
    ConfigReply largest = new ConfigReply(1, 2, true, 3, new byte[ConfigReply.MAX_BODY_BYTES]);
    a.transport.send("b", largest);
    a.transport.send("b", message(4));
    assertThat(b.next().message()).isEqualTo(largest);
    assertThat(b.next().message()).isEqualTo(message(4));
  }

  /** Guards reconnection on demand after the peer restarted at the same address. */
  @Test
  void connectionIsReopenedAfterThePeerRestarts() throws InterruptedException {
    Endpoint a = start("a", 0, Optional.empty());
    Endpoint first = start("b", 0, Optional.empty());
    a.transport.send("b", message(1));
    first.next();
    first.transport.stop();
    Endpoint second = start("b", addresses.get("b").getPort(), Optional.empty());
    await(
        () -> {
          a.transport.send("b", message(2));
          return !second.inbox.isEmpty();
        });
  }

  /** Guards against delivery to another instance that took over a peer's address. */
  @Test
  void peerWithAnotherIdentityReceivesNothing() throws InterruptedException {
    Endpoint a = start("a", 0, Optional.empty());
    Endpoint other = start("other", 0, Optional.empty());
    addresses.put("b", addresses.get("other"));
    a.transport.send("b", message(1));
    await(() -> a.count("peer.protocol.errors") > 0);
    assertThat(other.inbox).isEmpty();
  }

  /** Guards against delivery before a valid HELLO; the connection must be closed. */
  @Test
  void connectionWithoutHelloIsClosed() throws IOException {
    Endpoint a = start("a", 0, Optional.empty());
    for (PeerMessage first : List.of(message(1), new Hello("a", 1, "kol-a"))) {
      byte[] payload = PeerCodec.encode(first);
      try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), portOf("a"))) {
        socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(WAIT_SECONDS));
        socket.getOutputStream().write(new byte[] {0, 0, 0, (byte) payload.length});
        socket.getOutputStream().write(payload);
        assertThat(endsWithClose(socket.getInputStream())).isTrue();
      }
    }
    assertThat(a.inbox).isEmpty();
    assertThat(a.count("peer.protocol.errors")).isEqualTo(2);
  }

  private int portOf(String id) {
    return addresses.get(id).getPort();
  }

  private static boolean endsWithClose(InputStream in) throws IOException {
    try {
      return in.readAllBytes().length > 0;
    } catch (java.net.SocketException e) {
      return true;
    }
  }

  /** Guards against plain TCP outside loopback without explicit permission. */
  @Test
  void plaintextOutsideLoopbackNeedsPermission() {
    InetSocketAddress any = new InetSocketAddress("0.0.0.0", 0);
    IllegalArgumentException rejection =
        assertThrows(IllegalArgumentException.class, () -> newTransport(any, false));
    assertThat(rejection).hasMessageThat().contains("allowPlaintext");
    started.add(newTransport(any, true));
  }

  private static PeerTransport newTransport(InetSocketAddress bind, boolean allowPlaintext) {
    return new PeerTransport(
        new Hello("a", 1, "kol-a"),
        bind,
        Optional.empty(),
        allowPlaintext,
        peer -> Optional.empty(),
        (from, message) -> {},
        new MetricRegistry(),
        MonotonicClock.SYSTEM,
        new Random(1));
  }

  /** Guards mutual TLS and the check of the instance id against the certificate. */
  @Test
  void certificateMustNameTheInstance(@TempDir Path directory) throws Exception {
    Map<String, PeerTls> tls = keyFiles(directory, List.of("a", "b", "x"), List.of("a", "b", "x"));
    Endpoint a = start("a", 0, Optional.of(tls.get("a")));
    Endpoint b = start("b", 0, Optional.of(tls.get("b")));
    a.transport.send("b", message(1));
    assertThat(b.next()).isEqualTo(new Received("a", message(1)));
    Endpoint impostor = start("c", 0, Optional.of(tls.get("x")));
    impostor.transport.send("b", message(2));
    await(() -> b.count("peer.protocol.errors") > 0);
    assertThat(b.inbox).isEmpty();
  }

  /** Guards against untrusted certificates and against plain TCP to a TLS port. */
  @Test
  void untrustedAndPlaintextConnectionsAreRejected(@TempDir Path directory) throws Exception {
    Map<String, PeerTls> tls = keyFiles(directory, List.of("a", "b"), List.of("a"));
    Endpoint a = start("a", 0, Optional.of(tls.get("a")));
    Endpoint untrusted = start("b", 0, Optional.of(tls.get("b")));
    untrusted.transport.send("a", message(1));
    await(() -> a.count("peer.protocol.errors") > 0);
    Endpoint plain = start("p", 0, Optional.empty());
    plain.transport.send("a", message(2));
    await(() -> a.count("peer.protocol.errors") > 1);
    assertThat(a.inbox).isEmpty();
  }

  /** Guards the error message for a missing key file. */
  @Test
  void unusableKeyFilesAreReported(@TempDir Path directory) {
    Path missing = directory.resolve("missing.pem");
    IllegalArgumentException rejection =
        assertThrows(
            IllegalArgumentException.class,
            () -> start("a", 0, Optional.of(new PeerTls(missing, missing, missing))));
    assertThat(rejection).hasMessageThat().isNotEmpty();
  }

  /** Creates self-signed certificates with the JDK's keytool. */
  private static Map<String, PeerTls> keyFiles(
      Path directory, List<String> ids, List<String> trusted) throws Exception {
    Map<String, PeerTls> files = new ConcurrentHashMap<>();
    StringBuilder trust = new StringBuilder();
    Path trustFile = directory.resolve("trust.pem");
    for (String id : ids) {
      Path store = directory.resolve(id + ".p12");
      Process keytool =
          new ProcessBuilder(
                  Path.of(System.getProperty("java.home"), "bin", "keytool").toString(),
                  "-genkeypair",
                  "-alias",
                  id,
                  "-keyalg",
                  "EC",
                  "-dname",
                  "CN=" + id,
                  "-validity",
                  "2",
                  "-storetype",
                  "PKCS12",
                  "-storepass",
                  "changeit",
                  "-keystore",
                  store.toString())
              .redirectErrorStream(true)
              .start();
      keytool.getInputStream().readAllBytes();
      assertThat(keytool.waitFor()).isEqualTo(0);
      KeyStore keys = KeyStore.getInstance(store.toFile(), PASSWORD);
      String certificate = pem("CERTIFICATE", keys.getCertificate(id).getEncoded());
      if (trusted.contains(id)) {
        trust.append(certificate);
      }
      Path certificateFile = Files.writeString(directory.resolve(id + ".crt"), certificate);
      Path keyFile =
          Files.writeString(
              directory.resolve(id + ".key"),
              pem("PRIVATE KEY", keys.getKey(id, PASSWORD).getEncoded()));
      files.put(id, new PeerTls(certificateFile, keyFile, trustFile));
    }
    Files.writeString(trustFile, trust);
    return files;
  }

  private static String pem(String label, byte[] encoded) {
    String body = Base64.getMimeEncoder(64, new byte[] {'\n'}).encodeToString(encoded);
    return "-----BEGIN " + label + "-----\n" + body + "\n-----END " + label + "-----\n";
  }
}
