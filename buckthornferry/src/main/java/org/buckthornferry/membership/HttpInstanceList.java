package org.buckthornferry.membership;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.buckthornferry.config.Json;
import org.buckthornferry.http.HttpConnector;
import org.buckthornferry.http.HttpReply;

/** Reads the platform's instance list over HTTP. */
public final class HttpInstanceList implements InstanceList {
  private static final long TIMEOUT_MILLIS = 2_000;
  private static final byte[] EMPTY_BODY = {};

  private final HttpConnector connector;
  private final InetSocketAddress address;
  private final Executor controlThread;

  /** Creates a client whose futures complete on {@code controlThread}. */
  public HttpInstanceList(
      HttpConnector connector, InetSocketAddress address, Executor controlThread) {
    this.connector = connector;
    this.address = address;
    this.controlThread = controlThread;
  }

  @Override
  public CompletableFuture<List<ListedInstance>> list() {
    return connector
        .exchange(address, "GET", "/v1/instances", Map.of(), EMPTY_BODY, TIMEOUT_MILLIS)
        .thenApplyAsync(HttpInstanceList::parse, controlThread);
  }

  private static List<ListedInstance> parse(HttpReply reply) {
    if (reply.status() != 200) {
      throw new IllegalStateException("instance list request failed with status " + reply.status());
    }
    try {
      List<ListedInstance> instances = new ArrayList<>();
      for (JsonNode node : Json.MAPPER.readTree(reply.body()).path("instances")) {
        instances.add(
            new ListedInstance(
                node.path("instanceId").asText(),
                node.path("peerAddress").asText(),
                node.path("failureDomain").asText(),
                node.path("region").asText(),
                node.path("leaving").asBoolean()));
      }
      return instances;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
