package org.buckthornferry.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.buckthornferry.util.Checks;

/**
 * The settings of one entry instance. Optional properties have the defaults of {@code
 * settings-defaults.json}.
 *
 * @param callerAddress the IP address and port for callers
 * @param operatorAddress the IP address and port for operators
 * @param peerAddress the IP address and port for other instances
 * @param operatorTokenSha256 the SHA-256 hash of the operators' token, in lower-case hexadecimal
 * @param allowPlaintext whether connections from other hosts may use plaintext instead of TLS
 * @param callerTls the certificate and key for caller connections, or empty
 * @param peerTls the certificate, key and trust files for peer connections, or empty
 * @param shardCount the number of shards of each kind; the same at every instance
 */
public record Settings(
    String instanceId,
    String failureDomain,
    String region,
    String callerAddress,
    String operatorAddress,
    String peerAddress,
    String storeUrl,
    String instanceListUrl,
    String operatorTokenSha256,
    boolean allowPlaintext,
    Optional<CallerTls> callerTls,
    Optional<PeerTlsFiles> peerTls,
    int shardCount,
    Limits limits,
    Timings timings) {

  /** The PEM files of the certificate that this instance presents to callers. */
  public record CallerTls(String certificateFile, String keyFile) {}

  /**
   * The PEM files for TLS connections between instances.
   *
   * @param trustFile the CA certificates that sign the other instances' certificates
   */
  public record PeerTlsFiles(String certificateFile, String keyFile, String trustFile) {}

  /** Limits on the resources that callers can use on an instance. */
  public record Limits(
      int maxHeaderBytes, long maxBodyBytes, int maxConnections, long maxQueueBytes) {}

  /** Intervals and timeouts in milliseconds; the design page describes each of them. */
  public record Timings(
      long heartbeatMillis,
      long suspectMillis,
      long deadMillis,
      long instanceListPollMillis,
      long leaseTtlMillis,
      long leaseRenewMillis,
      long pauseBoundMillis,
      long grantValidMillis,
      long grantRequestMillis,
      long fallbackValidMillis,
      long shedLowerMillis,
      long journalCommitMillis,
      long claimWindowMillis,
      long quarantineMillis) {}

  /** Checks that the required values are present. */
  public Settings {
    Checks.notEmpty(instanceId, "instanceId");
    Checks.notEmpty(failureDomain, "failureDomain");
    Checks.notEmpty(region, "region");
    Checks.notNull(limits, "limits");
    Checks.notNull(timings, "timings");
    callerTls = callerTls == null ? Optional.empty() : callerTls;
    peerTls = peerTls == null ? Optional.empty() : peerTls;
  }

  /**
   * Reads settings from a file.
   *
   * @throws ConfigException when the file is unreadable or its settings are invalid
   */
  public static Settings load(Path file) {
    List<ConfigProblem> problems = new ArrayList<>();
    Optional<byte[]> content = JsonFile.read(file, file.toString(), problems);
    JsonFile.throwIfAny(problems);
    return parse(file.toString(), content.orElseThrow());
  }

  /**
   * Parses the settings in {@code content}.
   *
   * @param file the file name to report in problems
   * @throws ConfigException when the settings are invalid
   */
  public static Settings parse(String file, byte[] content) {
    List<ConfigProblem> problems = new ArrayList<>();
    Optional<JsonNode> tree = JsonFile.parse(file, content, "settings.schema.json", problems);
    JsonFile.throwIfAny(problems);
    ObjectNode merged = (ObjectNode) JsonFile.resource("settings-defaults.json");
    merge(merged, (ObjectNode) tree.orElseThrow());
    Settings settings;
    try {
      settings = Json.MAPPER.treeToValue(merged, Settings.class);
    } catch (JsonProcessingException e) {
      throw new ConfigException(
          List.of(new ConfigProblem(file, "$", e.getOriginalMessage(), "valid settings")));
    }
    SettingsChecks.check(file, settings, problems);
    JsonFile.throwIfAny(problems);
    return settings;
  }

  /** Parses an address setting, which must be valid, into a socket address. */
  public static InetSocketAddress socketAddress(String address) {
    int colon = address.lastIndexOf(':');
    String host = address.substring(0, colon);
    if (host.startsWith("[")) {
      host = host.substring(1, host.length() - 1);
    }
    return new InetSocketAddress(host, Integer.parseInt(address.substring(colon + 1)));
  }

  private static void merge(ObjectNode target, ObjectNode source) {
    for (Map.Entry<String, JsonNode> property : source.properties()) {
      JsonNode existing = target.get(property.getKey());
      if (existing instanceof ObjectNode object && property.getValue() instanceof ObjectNode over) {
        merge(object, over);
      } else {
        target.set(property.getKey(), property.getValue());
      }
    }
  }
}
