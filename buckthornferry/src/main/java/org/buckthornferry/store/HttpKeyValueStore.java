package org.buckthornferry.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.buckthornferry.http.HttpConnector;
import org.buckthornferry.http.HttpReply;
import org.buckthornferry.store.StoreException.Kind;

/** Client of the key-value service over its HTTP interface. */
public final class HttpKeyValueStore implements KeyValueStore {
  /** Additional time for the response of a watch after its own timeout, in milliseconds. */
  private static final long WATCH_GRACE_MILLIS = 2_000;

  private static final byte[] NO_BODY = {};
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final HttpConnector connector;
  private final InetSocketAddress address;
  private final long timeoutMillis;

  /**
   * Creates a client.
   *
   * @param timeoutMillis the response timeout of every call except a watch, in milliseconds
   */
  public HttpKeyValueStore(HttpConnector connector, InetSocketAddress address, long timeoutMillis) {
    this.connector = connector;
    this.address = address;
    this.timeoutMillis = timeoutMillis;
  }

  @Override
  public CompletableFuture<Optional<VersionedValue>> get(String key) {
    return call("GET", keyPath(key), NO_BODY, timeoutMillis)
        .thenApply(HttpKeyValueStore::optionalValue);
  }

  @Override
  public CompletableFuture<List<VersionedValue>> list(String keyPrefix) {
    return call("GET", "/v1/kv?prefix=" + encode(keyPrefix), NO_BODY, timeoutMillis)
        .thenApply(
            reply -> {
              List<VersionedValue> values = new ArrayList<>();
              for (JsonNode node : json(reply).get("values")) {
                values.add(value(node));
              }
              return values;
            });
  }

  @Override
  public CompletableFuture<Long> compareAndSwap(
      String key, long expectedVersion, byte[] value, String attemptId) {
    String path =
        keyPath(key) + "?expectedVersion=" + expectedVersion + "&attemptId=" + encode(attemptId);
    return call("PUT", path, value, timeoutMillis)
        .thenApply(reply -> json(reply).get("version").asLong());
  }

  @Override
  public CompletableFuture<Void> delete(String key, long expectedVersion) {
    return call(
            "DELETE", keyPath(key) + "?expectedVersion=" + expectedVersion, NO_BODY, timeoutMillis)
        .thenApply(reply -> null);
  }

  @Override
  public CompletableFuture<Long> grantLease(long ttlMillis) {
    return call("POST", "/v1/leases?ttlMillis=" + ttlMillis, NO_BODY, timeoutMillis)
        .thenApply(reply -> json(reply).get("leaseId").asLong());
  }

  @Override
  public CompletableFuture<Void> renewLease(long leaseId) {
    return call("POST", "/v1/leases/" + leaseId + "/renew", NO_BODY, timeoutMillis)
        .thenApply(reply -> null);
  }

  @Override
  public CompletableFuture<Boolean> isLeaseLive(long leaseId) {
    return call("GET", "/v1/leases/" + leaseId, NO_BODY, timeoutMillis)
        .thenApply(reply -> json(reply).get("live").asBoolean());
  }

  @Override
  public CompletableFuture<Void> revokeLease(long leaseId) {
    return call("DELETE", "/v1/leases/" + leaseId, NO_BODY, timeoutMillis).thenApply(reply -> null);
  }

  @Override
  public CompletableFuture<Optional<VersionedValue>> watch(
      String key, long afterVersion, long watchTimeoutMillis) {
    String path =
        "/v1/watch/"
            + encode(key)
            + "?afterVersion="
            + afterVersion
            + "&timeoutMillis="
            + watchTimeoutMillis;
    return call("GET", path, NO_BODY, watchTimeoutMillis + WATCH_GRACE_MILLIS)
        .thenApply(HttpKeyValueStore::optionalValue);
  }

  private CompletableFuture<HttpReply> call(
      String method, String path, byte[] body, long waitMillis) {
    return connector
        .exchange(address, method, path, Map.of(), body, waitMillis)
        .handle(
            (reply, failure) -> {
              if (failure != null) {
                throw StoreException.fromHttpFailure(failure);
              }
              if (reply.status() >= 400 && reply.status() != 404) {
                throw toException(reply);
              }
              return reply;
            });
  }

  private static StoreException toException(HttpReply reply) {
    Kind kind =
        switch (reply.status()) {
          case 409 -> Kind.CONFLICT;
          case 410 -> Kind.LEASE_EXPIRED;
          case 413 -> Kind.TOO_LARGE;
          case 429 -> Kind.RATE_LIMITED;
          case 503 -> Kind.UNAVAILABLE;
          default -> Kind.OUTCOME_UNKNOWN;
        };
    return new StoreException(kind, "store answered " + reply.status() + ": " + reply.text());
  }

  private static Optional<VersionedValue> optionalValue(HttpReply reply) {
    boolean absent = reply.status() == 404 || reply.status() == 204;
    return absent ? Optional.empty() : Optional.of(value(json(reply)));
  }

  private static VersionedValue value(JsonNode node) {
    try {
      return new VersionedValue(
          node.get("key").asText(),
          node.get("version").asLong(),
          node.get("value").binaryValue(),
          node.get("attemptId").asText());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static JsonNode json(HttpReply reply) {
    try {
      return MAPPER.readTree(reply.body());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static String keyPath(String key) {
    return "/v1/kv/" + encode(key);
  }

  private static String encode(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8);
  }
}
