package org.buckthornferry.standin;

import java.util.Optional;

/** The calls of the store protocol. */
enum StoreCallKind {
  GET(false),
  LIST(false),
  PUT(true),
  DELETE(true),
  LEASE_GRANT(true),
  LEASE_RENEW(true),
  LEASE_GET(false),
  LEASE_REVOKE(true),
  WATCH(false);

  static final String KEY_PATH = "/v1/kv/";
  static final String LIST_PATH = "/v1/kv";
  static final String LEASE_PATH = "/v1/leases/";
  static final String GRANT_PATH = "/v1/leases";
  static final String RENEW_SUFFIX = "/renew";
  static final String WATCH_PATH = "/v1/watch/";

  private final boolean write;

  StoreCallKind(boolean write) {
    this.write = write;
  }

  /** Returns whether the call counts against the write rate. */
  boolean isWrite() {
    return write;
  }

  /** Returns the kind of a request, or empty when the protocol has no such call. */
  static Optional<StoreCallKind> of(String method, String path) {
    return switch (method) {
      case "GET" -> Optional.ofNullable(ofGet(path));
      case "PUT" -> path.startsWith(KEY_PATH) ? Optional.of(PUT) : Optional.empty();
      case "POST" -> Optional.ofNullable(ofPost(path));
      case "DELETE" -> Optional.ofNullable(ofDelete(path));
      default -> Optional.empty();
    };
  }

  private static StoreCallKind ofGet(String path) {
    if (path.startsWith(KEY_PATH)) {
      return GET;
    }
    if (path.equals(LIST_PATH)) {
      return LIST;
    }
    if (path.startsWith(WATCH_PATH)) {
      return WATCH;
    }
    return path.startsWith(LEASE_PATH) ? LEASE_GET : null;
  }

  private static StoreCallKind ofPost(String path) {
    if (path.equals(GRANT_PATH)) {
      return LEASE_GRANT;
    }
    return path.startsWith(LEASE_PATH) && path.endsWith(RENEW_SUFFIX) ? LEASE_RENEW : null;
  }

  private static StoreCallKind ofDelete(String path) {
    if (path.startsWith(KEY_PATH)) {
      return DELETE;
    }
    return path.startsWith(LEASE_PATH) ? LEASE_REVOKE : null;
  }
}
