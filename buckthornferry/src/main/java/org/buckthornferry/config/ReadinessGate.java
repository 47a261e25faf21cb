package org.buckthornferry.config;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Decides which revision a new instance must apply before it serves: the stored one or, while the
 * store is down, the highest one held by a majority of the known instances.
 */
final class ReadinessGate {
  /** Older replies do not count, since the sender may have received a newer revision since. */
  private static final long REPLY_VALID_NANOS = TimeUnit.SECONDS.toNanos(2);

  private final Map<String, Reply> replyByInstance = new HashMap<>();
  private long requiredRevision = -1;

  private record Reply(long revision, long receivedNanos) {}

  /** Records the stored revision; 0 when the store holds none. */
  void recordStoredRevision(long revision) {
    requiredRevision = Math.max(requiredRevision, revision);
  }

  /** Records the reply of an instance that has completed its own startup. */
  void recordReply(String instanceId, long revision, long nowNanos) {
    replyByInstance.put(instanceId, new Reply(revision, nowNanos));
  }

  /** Returns whether the instance has sent a reply that is still valid. */
  boolean hasValidReply(String instanceId, long nowNanos) {
    Reply reply = replyByInstance.get(instanceId);
    return reply != null && nowNanos - reply.receivedNanos <= REPLY_VALID_NANOS;
  }

  /**
   * Sets the required revision to the highest reported one if a majority has valid replies.
   *
   * @param others the known instances except this one
   */
  void decideByMajority(Set<String> others, long nowNanos) {
    int validReplies = 0;
    long highest = 0;
    for (String id : others) {
      if (hasValidReply(id, nowNanos)) {
        validReplies++;
        highest = Math.max(highest, replyByInstance.get(id).revision);
      }
    }
    int known = others.size() + 1;
    if (validReplies >= known / 2 + 1) {
      requiredRevision = Math.max(requiredRevision, highest);
    }
  }

  /** Returns whether an instance that has applied this revision may serve. */
  boolean isSatisfiedBy(long revision) {
    return requiredRevision >= 0 && revision > 0 && revision >= requiredRevision;
  }
}
