package org.buckthornferry.standin;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.beust.jcommander.ParameterException;
import java.io.IOException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.buckthornferry.config.EndpointDeclaration;
import org.buckthornferry.config.Json;
import org.buckthornferry.config.ServiceDeclaration;
import org.buckthornferry.load.Scenario;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class StandInParserTest {
  /** Guards against options that are silently ignored. */
  @Test
  void unknownOptionIsRejected() {
    assertThrows(
        ParameterException.class,
        () -> new StandInParser().parse("engine", "--port", "1", "--speed", "9"));
  }

  /** Guards against examples whose declarations, stand-ins and load do not fit together. */
  @ParameterizedTest
  @CsvSource({"carnauba,model,records", "hooghly,assistant,booking"})
  void exampleDeploymentsAreConsistent(String deployment, String model, String plain)
      throws IOException {
    Path directory = Path.of("..", "deploy", deployment);
    Map<String, String> addresses = new HashMap<>();
    for (StandInFile.Entry entry :
        StandInFile.read(directory.resolve("standins.json")).standins()) {
      StandInParser parser = new StandInParser();
      parser.parse(entry.toArguments());
      StandInCommand command = parser.command().orElseThrow();
      assertThat(addresses.put(command.name(), "127.0.0.1:" + command.port)).isNull();
    }
    Set<String> paths = new HashSet<>();
    for (String service : new String[] {model, plain}) {
      ServiceDeclaration declaration =
          Json.MAPPER.readValue(
              directory.resolve(service + ".service.json").toFile(), ServiceDeclaration.class);
      for (EndpointDeclaration endpoint : declaration.endpoints()) {
        assertThat(addresses).containsEntry(endpoint.id(), endpoint.address());
      }
      declaration.routes().forEach(route -> paths.add(route.path()));
    }
    Scenario scenario = Scenario.read(directory.resolve("load.json"));
    scenario.classes().forEach(c -> assertThat(paths).contains(c.path()));
    assertThat(addresses.values()).containsAtLeastElementsIn(scenario.engines());
    assertThat(addresses.values()).containsAtLeastElementsIn(scenario.services());
  }
}
