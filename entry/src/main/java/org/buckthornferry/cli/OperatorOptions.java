package org.buckthornferry.cli;

import com.beust.jcommander.Parameter;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Optional;
import org.buckthornferry.config.Json;

/** The options of commands that ask the operator port of an instance. */
final class OperatorOptions {
  private static final Duration TIMEOUT = Duration.ofSeconds(5);

  @Parameter(
      names = "--instance",
      description = "URL of the instance's operator port",
      required = true)
  private String instanceUrl;

  @Parameter(
      names = "--token-env",
      description = "Environment variable that holds the operator token")
  private String tokenVariable = "BUCKTHORNFERRY_TOKEN";

  /** Returns the JSON document at a path, or empty after an error was printed. */
  Optional<JsonNode> get(String path) throws InterruptedException {
    String token = System.getenv().getOrDefault(tokenVariable, "");
    HttpRequest request =
        HttpRequest.newBuilder(URI.create(instanceUrl + path))
            .timeout(TIMEOUT)
            .header("Authorization", "Bearer " + token)
            .build();
    try {
      HttpResponse<byte[]> response =
          HttpClient.newBuilder()
              .connectTimeout(TIMEOUT)
              .build()
              .send(request, HttpResponse.BodyHandlers.ofByteArray());
      JsonNode document = Json.MAPPER.readTree(response.body());
      if (response.statusCode() == 200) {
        return Optional.of(document);
      }
      System.err.println(document.path("detail").asText("status " + response.statusCode()));
    } catch (IOException e) {
      System.err.println(instanceUrl + " cannot be reached: " + e);
    }
    return Optional.empty();
  }

  static void print(JsonNode document) {
    System.out.println(document.toPrettyString());
  }
}
