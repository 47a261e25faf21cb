package org.buckthornferry.shard;

import java.util.Locale;
import java.util.Optional;

/** The kind of key that is hashed to shards. Each kind has its own shard numbers and owners. */
public enum ShardKind {
  /** Endpoint ids, for capacity and health. */
  ENDPOINT(0),
  /** Request identities, for idempotency claims. */
  CLAIM(1);

  private final int code;

  ShardKind(int code) {
    this.code = code;
  }

  /** Returns the code of the kind in peer messages. */
  public int code() {
    return code;
  }

  /** Returns the kind with the given code, or empty. */
  public static Optional<ShardKind> ofCode(int code) {
    return switch (code) {
      case 0 -> Optional.of(ENDPOINT);
      case 1 -> Optional.of(CLAIM);
      default -> Optional.empty();
    };
  }

  /** Returns the store key of a shard's record. */
  public String recordKey(int shard) {
    return "shard/" + name().toLowerCase(Locale.ROOT) + "/" + shard;
  }
}
