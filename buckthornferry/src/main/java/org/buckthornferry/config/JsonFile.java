package org.buckthornferry.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectReader;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.PathType;
import com.networknt.schema.SchemaValidatorsConfig;
import com.networknt.schema.SpecVersion.VersionFlag;
import com.networknt.schema.ValidationMessage;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/** Reads JSON files and validates them against the schemas in this package. */
final class JsonFile {
  /** The largest accepted file, in bytes; limits the memory used to read one file. */
  static final long MAX_FILE_BYTES = 16 << 20;

  /** The largest number of schema problems reported for one file. */
  private static final int MAX_PROBLEMS_PER_FILE = 1_000;

  private static final ObjectReader READER =
      Json.MAPPER
          .reader()
          .with(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
          .with(DeserializationFeature.FAIL_ON_READING_DUP_TREE_KEY);

  private JsonFile() {}

  /** Returns the content of a file, or adds a problem and returns empty. */
  static Optional<byte[]> read(Path file, String name, List<ConfigProblem> problems) {
    try {
      long sizeBytes = Files.size(file);
      if (sizeBytes > MAX_FILE_BYTES) {
        problems.add(
            new ConfigProblem(
                name, "$", sizeBytes + " bytes", "at most " + MAX_FILE_BYTES + " bytes"));
        return Optional.empty();
      }
      return Optional.of(Files.readAllBytes(file));
    } catch (IOException e) {
      problems.add(new ConfigProblem(name, "$", e.getClass().getSimpleName(), "a readable file"));
      return Optional.empty();
    }
  }

  /** Returns the parsed {@code content} if it satisfies a schema, or adds its problems. */
  static Optional<JsonNode> parse(
      String name, byte[] content, String schemaResource, List<ConfigProblem> problems) {
    JsonNode tree;
    try {
      tree = READER.readTree(content);
    } catch (JsonProcessingException e) {
      problems.add(
          new ConfigProblem(name, "$", messageWithLocation(e), "valid JSON without double keys"));
      return Optional.empty();
    } catch (IOException e) {
      problems.add(new ConfigProblem(name, "$", "unreadable bytes", "valid JSON in UTF-8"));
      return Optional.empty();
    }
    int problemsBefore = problems.size();
    for (ValidationMessage message : schema(schemaResource).validate(tree)) {
      if (problems.size() - problemsBefore >= MAX_PROBLEMS_PER_FILE) {
        break;
      }
      problems.add(problemOf(name, message));
    }
    return problems.size() > problemsBefore ? Optional.empty() : Optional.of(tree);
  }

  /** Returns a JSON resource of this package. */
  static JsonNode resource(String resource) {
    try (InputStream in = JsonFile.class.getResourceAsStream(resource)) {
      return Json.MAPPER.readTree(in);
    } catch (IOException e) {
      throw new IllegalStateException("cannot read resource " + resource, e);
    }
  }

  private static JsonSchema schema(String resource) {
    SchemaValidatorsConfig config =
        SchemaValidatorsConfig.builder()
            .locale(Locale.ENGLISH)
            .pathType(PathType.JSON_PATH)
            .build();
    return JsonSchemaFactory.getInstance(VersionFlag.V202012).getSchema(resource(resource), config);
  }

  private static ConfigProblem problemOf(String name, ValidationMessage message) {
    JsonNode value = message.getInstanceNode();
    String path = message.getInstanceLocation().toString();
    return new ConfigProblem(name, path, valueOf(message, value), allowedBy(message));
  }

  private static String valueOf(ValidationMessage message, JsonNode value) {
    String property = message.getProperty();
    return switch (message.getType()) {
      case "additionalProperties" -> "property " + property;
      case "required" -> "no property " + property;
      default -> value == null ? "nothing" : value.toString();
    };
  }

  private static String allowedBy(ValidationMessage message) {
    JsonNode rule = message.getSchemaNode();
    String text = rule == null ? "" : rule.isTextual() ? rule.textValue() : rule.toString();
    return switch (message.getType()) {
      case "type" -> "type " + text;
      case "enum" -> "one of " + text;
      case "pattern" -> "text matching " + text;
      case "minimum" -> "at least " + text;
      case "maximum" -> "at most " + text;
      case "exclusiveMinimum" -> "above " + text;
      case "exclusiveMaximum" -> "below " + text;
      case "minLength", "minItems" -> "a length of at least " + text;
      case "maxLength", "maxItems" -> "a length of at most " + text;
      case "required" -> "the property " + message.getProperty();
      case "additionalProperties" -> "only the properties of the schema";
      default -> message.getMessage();
    };
  }

  private static String messageWithLocation(JsonProcessingException e) {
    String location =
        e.getLocation() == null
            ? ""
            : " at line "
                + e.getLocation().getLineNr()
                + ", column "
                + e.getLocation().getColumnNr();
    return e.getOriginalMessage() + location;
  }

  /**
   * Throws an exception if there are problems.
   *
   * @throws ConfigException with all problems
   */
  static void throwIfAny(List<ConfigProblem> problems) {
    if (!problems.isEmpty()) {
      throw new ConfigException(new ArrayList<>(problems));
    }
  }
}
