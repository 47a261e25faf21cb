package org.buckthornferry.config;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Decides which revision a new instance needs before it serves: the one in the store, or while the
 * store is down the highest among a majority of the known instances.
 */
final class StartUp {
  /** A reply says nothing about revisions that its sender got later. */
  private static final long REPLY_VALID_NANOS = TimeUnit.SECONDS.toNanos(2);

  private final Map<String, Reply> replies = new HashMap<>();
  private long neededRevision = -1;

  private record Reply(long revision, long receivedNanos) {}

  /** Takes the revision that the store holds; 0 when it holds none. */
  void onStore(long revision) {
    neededRevision = Math.max(neededRevision, revision);
  }

  /** Takes the reply of an instance that has completed its own start-up. */
  void onReply(String instanceId, long revision, long nowNanos) {
    replies.put(instanceId, new Reply(revision, nowNanos));
  }

  /** Returns whether a valid reply of the instance is there. */
  boolean hasReply(String instanceId, long nowNanos) {
    Reply reply = replies.get(instanceId);
    return reply != null && nowNanos - reply.receivedNanos <= REPLY_VALID_NANOS;
  }

  /**
   * Decides by majority when enough instances have replied.
   *
   * @param others the known instances without this one
   */
  void decideByMajority(Set<String> others, long nowNanos) {
    int count = 0;
    long highest = 0;
    for (String id : others) {
      if (hasReply(id, nowNanos)) {
        count++;
        highest = Math.max(highest, replies.get(id).revision);
      }
    }
    int known = others.size() + 1;
    if (count >= known / 2 + 1) {
      neededRevision = Math.max(neededRevision, highest);
    }
  }

  /** Returns whether an instance with this revision in force may serve. */
  boolean isSatisfiedBy(long revision) {
    return neededRevision >= 0 && revision > 0 && revision >= neededRevision;
  }
}
