package org.buckthornferry.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/** Loads the declarations in a directory and validates them together. */
public final class DeclarationLoader {
  /** The name of the file that declares the customers. */
  public static final String CUSTOMERS_FILE = "customers.json";

  /** The name of the file that declares the failure domains. */
  public static final String FAILURE_DOMAINS_FILE = "failure-domains.json";

  /** The suffix of the names of files that declare a service. */
  public static final String SERVICE_SUFFIX = ".service.json";

  private static final int MAX_DIRECTORY_DEPTH = 8;
  private static final int MAX_SERVICE_FILES = 4_096;

  private DeclarationLoader() {}

  /**
   * Reads {@code customers.json}, {@code failure-domains.json} and every {@code *.service.json} in
   * a directory and its subdirectories.
   *
   * @throws ConfigException with every problem found when the declarations are invalid
   */
  public static Declarations load(Path directory) {
    List<ConfigProblem> problems = new ArrayList<>();
    DeclarationChecks checks = new DeclarationChecks(problems);
    readRequired(directory, FAILURE_DOMAINS_FILE, "failure-domains.schema.json", problems)
        .ifPresent(tree -> checks.addFailureDomains(FAILURE_DOMAINS_FILE, tree));
    readRequired(directory, CUSTOMERS_FILE, "customers.schema.json", problems)
        .ifPresent(tree -> checks.addCustomers(CUSTOMERS_FILE, tree));
    for (Path file : findServiceFiles(directory, problems)) {
      String name = directory.relativize(file).toString();
      JsonFile.read(file, name, problems)
          .flatMap(content -> JsonFile.parse(name, content, "service.schema.json", problems))
          .ifPresent(tree -> checks.addService(name, tree));
    }
    checks.checkAcrossFiles();
    JsonFile.throwIfAny(problems);
    return checks.declarations();
  }

  private static Optional<JsonNode> readRequired(
      Path directory, String name, String schema, List<ConfigProblem> problems) {
    return JsonFile.read(directory.resolve(name), name, problems)
        .flatMap(content -> JsonFile.parse(name, content, schema, problems));
  }

  private static List<Path> findServiceFiles(Path directory, List<ConfigProblem> problems) {
    try (Stream<Path> files = Files.walk(directory, MAX_DIRECTORY_DEPTH)) {
      List<Path> found =
          files
              .filter(file -> file.toString().endsWith(SERVICE_SUFFIX))
              .filter(Files::isRegularFile)
              .sorted()
              .limit(MAX_SERVICE_FILES + 1L)
              .toList();
      if (found.isEmpty() || found.size() > MAX_SERVICE_FILES) {
        problems.add(
            new ConfigProblem(
                directory.toString(),
                "$",
                found.size() + " files named *" + SERVICE_SUFFIX,
                "1 to " + MAX_SERVICE_FILES));
      }
      return found.size() > MAX_SERVICE_FILES ? List.of() : found;
    } catch (IOException | UncheckedIOException e) {
      problems.add(
          new ConfigProblem(
              directory.toString(), "$", e.getClass().getSimpleName(), "a readable directory"));
      return List.of();
    }
  }

  /** Converts a tree that has passed the schema and the checks to a record. */
  static <T> T convert(JsonNode tree, Class<T> type) {
    try {
      return Json.MAPPER.treeToValue(tree, type);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException(e.getOriginalMessage(), e);
    }
  }
}
