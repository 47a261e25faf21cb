package org.buckthornferry.shard;

import java.util.Locale;

/** What is hashed into a shard. Kinds are numbered and owned independently. */
public enum ShardKind {
  /** Endpoints, for capacity and health. */
  ENDPOINT,
  /** Request identities, for claims. */
  CLAIM;

  /** Returns the store key of a shard's record. */
  public String recordKey(int shard) {
    return "shard/" + name().toLowerCase(Locale.ROOT) + "/" + shard;
  }
}
