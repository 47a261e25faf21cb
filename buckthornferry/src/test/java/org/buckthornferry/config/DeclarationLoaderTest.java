package org.buckthornferry.config;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import org.buckthornferry.admission.Tier;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class DeclarationLoaderTest {
  private static final String DOMAINS =
      """
      [{"id": "kol-a", "region": "kol"}, {"id": "kol-b", "region": "kol", "drained": true}]
      """;

  private static final String CUSTOMERS =
      """
      [{"id": "grip", "keySha256": "%s", "weight": 2}]
      """
          .formatted("b".repeat(64));

  private static final String SERVICE =
      """
      {
        "id": "assistant", "kind": "model", "activeVersion": "v1",
        "routes": [{"path": "/agreements", "tier": "critical", "idempotent": true,
          "expectedPrefillTokens": 4000, "expectedDecodeTokens": 900}],
        "tiers": [{"tier": "critical", "deadlineMillis": 60000, "maxWaitMillis": 30000}],
        "endpoints": [
          {"id": "a1", "address": "127.0.0.1:9001", "failureDomain": "kol-a", "version": "v1",
            "hardware": "h1", "maxConcurrent": 8, "coldConcurrent": 2, "checksFencing": true},
          {"id": "a2", "address": "127.0.0.1:9002", "failureDomain": "kol-b", "version": "v2",
            "hardware": "h1", "maxConcurrent": 8, "coldConcurrent": 2, "checksFencing": false}],
        "rollout": {"fromVersion": "v1", "toVersion": "v2", "moveBy": "2026-12-24T06:00:00Z",
          "shareSteps": [0.01, 0.1, 1], "maxFailureShare": 0.02, "maxLatencyRatio": 1.5}
      }
      """;

  @TempDir Path directory;

  @BeforeEach
  void writeValidFiles() throws IOException {
    write(DeclarationLoader.FAILURE_DOMAINS_FILE, DOMAINS);
    write(DeclarationLoader.CUSTOMERS_FILE, CUSTOMERS);
    write("assistant/assistant.service.json", SERVICE);
  }

  private void write(String name, String content) throws IOException {
    Path file = directory.resolve(name);
    Files.createDirectories(file.getParent());
    Files.writeString(file, content);
  }

  private List<ConfigProblem> problems() {
    return assertThrows(ConfigException.class, () -> DeclarationLoader.load(directory)).problems();
  }

  /** Guards the parsing of declarations. */
  @Test
  void validFilesBecomeDeclarations() {
    Declarations declarations = DeclarationLoader.load(directory);
    assertThat(declarations.isDrained("kol-a")).isFalse();
    assertThat(declarations.isDrained("kol-b")).isTrue();
    assertThat(declarations.customers().get(0).weight()).isEqualTo(2);
    ServiceDeclaration service = declarations.services().get(0);
    assertThat(service.kind()).isEqualTo(ServiceKind.MODEL);
    assertThat(service.tier(Tier.CRITICAL).maxWaitMillis()).isEqualTo(30_000);
    assertThat(service.endpoints()).hasSize(2);
    assertThat(service.rollout().orElseThrow().shareSteps()).containsExactly(0.01, 0.1, 1.0);
  }

  /** One run must report the problems of every file. */
  @Test
  void problemsOfAllFilesAreReportedTogether() throws IOException {
    write(DeclarationLoader.CUSTOMERS_FILE, CUSTOMERS.replace("\"weight\": 2", "\"weight\": 0"));
    write(
        "assistant/assistant.service.json",
        SERVICE
            .replace("\"kol-b\"", "\"kol-z\"")
            .replace("\"coldConcurrent\": 2", "\"coldConcurrent\": 9")
            .replace("[0.01, 0.1, 1]", "[0.1, 0.05, 0.5]")
            .replace("\"tier\": \"critical\", \"idem", "\"tier\": \"bulk\", \"idem"));
    write("broken.service.json", "{\"id\": ");
    assertThat(problems().stream().map(ConfigProblem::toString))
        .containsExactly(
            "customers.json: $[0].weight: 0 is not allowed; allowed: at least 1",
            "assistant/assistant.service.json: $.routes[0].tier: bulk is not allowed; allowed: one"
                + " of the service's tiers [critical]",
            "assistant/assistant.service.json: $.endpoints[0].coldConcurrent: 9 is not allowed;"
                + " allowed: at most maxConcurrent = 8",
            "assistant/assistant.service.json: $.endpoints[1].coldConcurrent: 9 is not allowed;"
                + " allowed: at most maxConcurrent = 8",
            "assistant/assistant.service.json: $.rollout.shareSteps[1]: 0.05 is not allowed;"
                + " allowed: above 0.1",
            "assistant/assistant.service.json: $.rollout.shareSteps[2]: 0.5 is not allowed;"
                + " allowed: 1 as last step",
            "broken.service.json: $: Unexpected end-of-input within/between Object entries at line"
                + " 1, column 8 is not allowed; allowed: valid JSON without double keys",
            "assistant/assistant.service.json: $.endpoints[1].failureDomain: kol-z is not allowed;"
                + " allowed: one of [kol-a, kol-b]");
  }

  /** Two services must not declare the same route, endpoint or address. */
  @Test
  void duplicateDeclarationsReportTheFirstOne() throws IOException {
    write("copy.service.json", SERVICE);
    List<ConfigProblem> problems = problems();
    assertThat(problems.stream().map(ConfigProblem::jsonPath))
        .containsExactly(
            "$.id",
            "$.routes[0].path",
            "$.endpoints[0].id",
            "$.endpoints[0].address",
            "$.endpoints[1].id",
            "$.endpoints[1].address");
    assertThat(problems.get(0).allowed())
        .isEqualTo("a service that is not declared at assistant/assistant.service.json $.id");
  }

  /** Declared versions must have an endpoint that serves them. */
  @Test
  void versionsWithoutEndpointAreReported() throws IOException {
    write(
        "assistant/assistant.service.json",
        SERVICE
            .replace("\"activeVersion\": \"v1\"", "\"activeVersion\": \"v0\"")
            .replace("\"toVersion\": \"v2\"", "\"toVersion\": \"v3\""));
    assertThat(problems().stream().map(ConfigProblem::jsonPath))
        .containsExactly("$.activeVersion", "$.rollout.fromVersion", "$.rollout.toVersion");
  }

  /** Missing files must not be published as empty declarations. */
  @Test
  void missingFilesAreReported() throws IOException {
    Files.delete(directory.resolve(DeclarationLoader.CUSTOMERS_FILE));
    Files.delete(directory.resolve("assistant/assistant.service.json"));
    assertThat(problems()).hasSize(2);
  }

  /** Corrupted declarations must not fail in any other way than with a list of problems. */
  @Test
  void corruptedDeclarationsAreAcceptedOrReported() throws IOException {
    for (int seed = 0; seed < 400; seed++) {
      Random random = new Random(seed);
      Files.write(
          directory.resolve("assistant/assistant.service.json"),
          SettingsTest.corrupt(SERVICE, random));
      Files.write(
          directory.resolve(DeclarationLoader.FAILURE_DOMAINS_FILE),
          SettingsTest.corrupt(DOMAINS, random));
      try {
        assertThat(DeclarationLoader.load(directory)).isNotNull();
      } catch (ConfigException e) {
        assertThat(e.problems()).isNotEmpty();
      }
    }
  }
}
