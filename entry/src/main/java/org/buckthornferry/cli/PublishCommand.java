package org.buckthornferry.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import org.buckthornferry.config.ConfigSnapshot;
import org.buckthornferry.config.CustomerDeclaration;
import org.buckthornferry.config.Declarations;
import org.buckthornferry.config.FailureDomainDeclaration;
import org.buckthornferry.config.Json;
import org.buckthornferry.config.ServiceDeclaration;
import org.buckthornferry.http.Addresses;
import org.buckthornferry.http.HttpConnector;
import org.buckthornferry.store.HttpKeyValueStore;
import org.buckthornferry.store.KeyValueStore;
import org.buckthornferry.store.VersionedValue;

/** Publishes the declarations of a directory as the next configuration revision. */
@Parameters(commandDescription = "Check and publish a directory of declarations")
final class PublishCommand implements Command {
  private static final int TIMEOUT_MILLIS = 5_000;

  @Parameter(names = "--store", description = "URL of the key-value service", required = true)
  private String storeUrl;

  @Parameter(description = "DIRECTORY", required = true)
  private List<String> directories = new ArrayList<>();

  @Override
  public String name() {
    return "publish";
  }

  @Override
  public ExitCode run() throws Exception {
    Declarations declarations = load(Path.of(directories.get(0)));
    NioEventLoopGroup eventLoops = new NioEventLoopGroup(1);
    try {
      KeyValueStore store =
          new HttpKeyValueStore(
              new HttpConnector(eventLoops, TIMEOUT_MILLIS),
              Addresses.ofUrl(storeUrl),
              TIMEOUT_MILLIS);
      Optional<VersionedValue> current = store.get("config/current").join();
      long revision = 1;
      if (current.isPresent()) {
        revision += Json.MAPPER.readValue(current.get().value(), ConfigSnapshot.class).revision();
      }
      String attemptId = UUID.randomUUID().toString();
      byte[] value =
          Json.MAPPER.writeValueAsBytes(new ConfigSnapshot(revision, attemptId, declarations));
      long expectedVersion = current.map(VersionedValue::version).orElse(0L);
      store.compareAndSwap("config/current", expectedVersion, value, attemptId).join();
      System.out.println("published revision " + revision);
      return ExitCode.SUCCESS;
    } finally {
      eventLoops.shutdownGracefully();
    }
  }

  private static Declarations load(Path directory) throws IOException {
    JsonNode domains = Json.MAPPER.readTree(directory.resolve("failure-domains.json").toFile());
    JsonNode customers = Json.MAPPER.readTree(directory.resolve("customers.json").toFile());
    List<ServiceDeclaration> services = new ArrayList<>();
    try (DirectoryStream<Path> files = Files.newDirectoryStream(directory, "*.service.json")) {
      for (Path file : files) {
        services.add(Json.MAPPER.readValue(file.toFile(), ServiceDeclaration.class));
      }
    }
    return new Declarations(
        List.of(
            Json.MAPPER.treeToValue(
                domains.get("failureDomains"), FailureDomainDeclaration[].class)),
        List.of(Json.MAPPER.treeToValue(customers.get("customers"), CustomerDeclaration[].class)),
        services);
  }
}
