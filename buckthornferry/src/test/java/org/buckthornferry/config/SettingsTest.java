package org.buckthornferry.config;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class SettingsTest {
  static final String VALID =
      """
      {
        "instanceId": "entry-1", "failureDomain": "kol-a", "region": "kol",
        "callerAddress": "127.0.0.1:8080", "operatorAddress": "127.0.0.1:8081",
        "peerAddress": "127.0.0.1:8082", "storeUrl": "http://127.0.0.1:7000",
        "instanceListUrl": "http://127.0.0.1:7001",
        "operatorTokenSha256": "%s"
      }
      """
          .formatted("a".repeat(64));

  private static Settings parse(String json) {
    return Settings.parse("entry.json", json.getBytes(StandardCharsets.UTF_8));
  }

  private static List<ConfigProblem> problems(String json) {
    return assertThrows(ConfigException.class, () -> parse(json)).problems();
  }

  /** Guards the defaults documented on the design page. */
  @Example
  void absentPropertiesHaveDocumentedDefaults() {
    Settings settings = parse(VALID);
    assertThat(settings.shardCount()).isEqualTo(64);
    assertThat(settings.allowPlaintext()).isFalse();
    assertThat(settings.peerTls()).isEmpty();
    assertThat(settings.timings())
        .isEqualTo(
            new Settings.Timings(
                250, 1_000, 3_000, 2_000, 3_000, 1_000, 2_000, 2_000, 300, 120_000, 2_000, 125,
                600_000, 600_000));
    assertThat(settings.limits().maxQueueBytes()).isEqualTo(128L << 20);
  }

  /** A single timing that is set must not discard the defaults of the others. */
  @Example
  void propertiesOverrideDefaultsIndividually() {
    Settings settings =
        parse(VALID.replaceFirst("\\{", "{\"timings\": {\"heartbeatMillis\": 100},"));
    assertThat(settings.timings().heartbeatMillis()).isEqualTo(100);
    assertThat(settings.timings().suspectMillis()).isEqualTo(1_000);
  }

  /** One run must report every schema problem with file, path, value and rule. */
  @Example
  void everySchemaProblemIsReported() {
    List<ConfigProblem> problems =
        problems(
            VALID
                .replace("\"entry-1\"", "\"Entry 1\"")
                .replace("\"kol-a\"", "7")
                .replaceFirst("\\{", "{\"limit\": 1, \"shardCount\": 0,"));
    assertThat(problems)
        .containsExactly(
            new ConfigProblem(
                "entry.json",
                "$.instanceId",
                "\"Entry 1\"",
                "text matching ^[a-z0-9][a-z0-9._-]{0,62}$"),
            new ConfigProblem("entry.json", "$.failureDomain", "7", "type string"),
            new ConfigProblem("entry.json", "$.shardCount", "0", "at least 1"),
            new ConfigProblem(
                "entry.json", "$", "property limit", "only the properties of the schema"));
  }

  /** Guards the checks that involve several properties. */
  @Example
  void everyCrossFieldProblemIsReported() {
    List<ConfigProblem> problems =
        problems(
            VALID
                .replace("127.0.0.1:8081", "127.0.0.1:8080")
                .replace("127.0.0.1:8082", "10.0.0.1:8082")
                .replaceFirst("\\{", "{\"timings\": {\"suspectMillis\": 5000},"));
    assertThat(problems.stream().map(ConfigProblem::jsonPath))
        .containsExactly("$.operatorAddress", "$.peerAddress", "$.timings.suspectMillis");
    assertThat(problems.get(2).allowed()).isEqualTo("below deadMillis = 3000");
  }

  /** Addresses that match the schema's pattern may still be invalid. */
  @Example
  void addressesAreIpAddressesWithPorts() {
    for (String address : List.of("300.0.0.1:80", "127.0.0.1:0", "127.0.0.1:70000", "[::g]:80")) {
      assertThat(problems(VALID.replace("127.0.0.1:8080", address)).get(0).jsonPath())
          .isEqualTo("$.callerAddress");
    }
    assertThat(parse(VALID.replace("127.0.0.1:8080", "[::1]:80")).callerAddress())
        .isEqualTo("[::1]:80");
  }

  /** Guards the problem reported for a missing file. */
  @Example
  void missingFileIsReported() {
    ConfigException refused =
        assertThrows(ConfigException.class, () -> Settings.load(Path.of("/nowhere/entry.json")));
    assertThat(refused.problems().get(0).allowed()).isEqualTo("a readable file");
  }

  /** Extreme numbers and nesting must not make the parser hang or fail in another way. */
  @Example
  void extremeJsonIsRefusedAsInvalid() {
    String nested = "[".repeat(100_000);
    for (String value :
        List.of("1e400", "1e999999999", "-1E+999999999", "9".repeat(900), "1.5", nested, "\"\\u")) {
      assertThat(problems(VALID.replaceFirst("\\{", "{\"shardCount\": " + value + ",")))
          .isNotEmpty();
    }
    assertThat(problems("")).hasSize(1);
    assertThat(problems("null")).hasSize(1);
    assertThat(problems(VALID.replaceFirst("\\{", "{\"region\": \"x\",")).get(0).allowed())
        .contains("double keys");
  }

  /** Corrupted settings must not fail in any other way than with a list of problems. */
  @Property(tries = 1_000, seed = "1")
  void corruptedSettingsAreAcceptedOrReported(@ForAll long seed) {
    assertAcceptedOrReported(corrupt(VALID, new Random(seed)));
  }

  private static void assertAcceptedOrReported(byte[] content) {
    try {
      assertThat(Settings.parse("entry.json", content)).isNotNull();
    } catch (ConfigException e) {
      assertThat(e.problems()).isNotEmpty();
    }
  }

  /** Returns JSON text with a few tokens or bytes changed. */
  static byte[] corrupt(String json, Random random) {
    String text = json;
    List<String> tokens =
        List.of("{", "}", "[", "]", "null", "-1", "1e400", "\"x\"", ",", ":", "true", "\\u0000");
    for (int i = random.nextInt(4); i >= 0; i--) {
      int at = random.nextInt(text.length());
      int end = Math.min(text.length(), at + random.nextInt(12));
      text =
          text.substring(0, at) + tokens.get(random.nextInt(tokens.size())) + text.substring(end);
    }
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    if (random.nextBoolean()) {
      bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
    }
    return bytes;
  }
}
