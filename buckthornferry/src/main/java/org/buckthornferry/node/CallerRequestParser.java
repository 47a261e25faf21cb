package org.buckthornferry.node;

import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.UUID;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.buckthornferry.admission.Tier;
import org.buckthornferry.config.CustomerDeclaration;
import org.buckthornferry.error.ErrorKind;
import org.buckthornferry.error.RequestException;
import org.buckthornferry.http.HttpExchange;
import org.buckthornferry.request.RequestIdentity;
import org.buckthornferry.util.Sha256;

/** Parses the headers of a caller's request and validates them against the configuration. */
final class CallerRequestParser {
  private static final String BEARER = "Bearer ";
  private static final int MAX_KEY_CHARS = RequestIdentity.MAX_LENGTH;
  private static final long MAX_TIMEOUT_MILLIS = TimeUnit.HOURS.toMillis(1);

  private CallerRequestParser() {}

  /**
   * Returns the request in {@code exchange}.
   *
   * @throws RequestException when a header is missing or invalid, or the path is not declared
   */
  static CallerRequest parse(HttpExchange exchange, RequestCatalog catalog, long nowNanos) {
    if (!exchange.method().equals("POST")) {
      throw new RequestException(ErrorKind.BAD_REQUEST, "only POST is supported");
    }
    CustomerDeclaration customer = authenticate(exchange, catalog);
    RequestCatalog.Target target =
        catalog
            .target(exchange.path())
            .orElseThrow(
                () ->
                    new RequestException(
                        ErrorKind.UNKNOWN_ROUTE, "no service declares " + exchange.path()));
    Tier tier = tier(exchange, target);
    long timeoutMillis = timeoutMillis(exchange, target.service().tier(tier).deadlineMillis());
    Optional<String> key = idempotencyKey(exchange);
    return new CallerRequest(
        requestId(customer, key),
        customer,
        target,
        tier,
        key,
        exchange.body(),
        nowNanos,
        nowNanos + TimeUnit.MILLISECONDS.toNanos(timeoutMillis),
        resumeOffset(exchange));
  }

  /** Derives the id from the key, so that a retry on any instance can resume the same stream. */
  private static String requestId(CustomerDeclaration customer, Optional<String> key) {
    return key.map(text -> UUID.nameUUIDFromBytes(utf8(customer.id() + '\0' + text)))
        .orElseGet(CallerRequestParser::randomId)
        .toString();
  }

  private static byte[] utf8(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  /**
   * Returns a random id. A secure generator would cost more than the rest of the parsing, and ids
   * need not be unpredictable.
   */
  private static UUID randomId() {
    ThreadLocalRandom random = ThreadLocalRandom.current();
    return new UUID(random.nextLong(), random.nextLong());
  }

  private static CustomerDeclaration authenticate(HttpExchange exchange, RequestCatalog catalog) {
    String header = exchange.header("Authorization").orElse("");
    if (!header.startsWith(BEARER)) {
      throw new RequestException(
          ErrorKind.UNAUTHENTICATED, "the Authorization header must be Bearer <customer key>");
    }
    return catalog
        .customer(Sha256.hex(header.substring(BEARER.length())))
        .orElseThrow(() -> new RequestException(ErrorKind.UNAUTHENTICATED, "unknown customer key"));
  }

  private static Tier tier(HttpExchange exchange, RequestCatalog.Target target) {
    Optional<String> header = exchange.header("Request-Tier");
    if (header.isEmpty()) {
      return target.route().tier();
    }
    try {
      Tier requested = Tier.valueOf(header.get().toUpperCase(Locale.ROOT));
      return Tier.lower(requested, target.route().tier());
    } catch (IllegalArgumentException e) {
      throw new RequestException(
          ErrorKind.BAD_REQUEST, "Request-Tier must be critical, standard or bulk");
    }
  }

  private static Optional<String> idempotencyKey(HttpExchange exchange) {
    Optional<String> key = exchange.header("Idempotency-Key");
    if (key.isPresent() && (key.get().isEmpty() || key.get().length() > MAX_KEY_CHARS)) {
      throw new RequestException(
          ErrorKind.BAD_REQUEST, "Idempotency-Key must have 1 to " + MAX_KEY_CHARS + " characters");
    }
    if (key.isPresent() && key.get().startsWith(RequestIdentity.GENERATED_PREFIX)) {
      throw new RequestException(
          ErrorKind.BAD_REQUEST,
          "Idempotency-Key must not start with " + RequestIdentity.GENERATED_PREFIX);
    }
    return key;
  }

  private static long timeoutMillis(HttpExchange exchange, long defaultMillis) {
    Optional<String> header = exchange.header("Request-Timeout-Ms");
    if (header.isEmpty()) {
      return defaultMillis;
    }
    long millis = parseNumber(header.get(), "Request-Timeout-Ms");
    if (millis < 1 || millis > MAX_TIMEOUT_MILLIS) {
      throw new RequestException(
          ErrorKind.BAD_REQUEST, "Request-Timeout-Ms must be 1 to " + MAX_TIMEOUT_MILLIS);
    }
    return millis;
  }

  private static OptionalLong resumeOffset(HttpExchange exchange) {
    Optional<String> header = exchange.header("Last-Event-ID");
    if (header.isEmpty()) {
      return OptionalLong.empty();
    }
    long offset = parseNumber(header.get(), "Last-Event-ID");
    if (offset < 0) {
      throw new RequestException(ErrorKind.BAD_REQUEST, "Last-Event-ID must not be negative");
    }
    return OptionalLong.of(offset);
  }

  private static long parseNumber(String text, String header) {
    try {
      return Long.parseLong(text);
    } catch (NumberFormatException e) {
      throw new RequestException(ErrorKind.BAD_REQUEST, header + " must be a whole number");
    }
  }
}
