package org.buckthornferry.fleet;

import java.io.IOException;

/** Kinds of calls between instances. */
public enum PeerMessageKind {
  /** Fetches a copy of all store items, for an instance that cannot reach the store. */
  VIEW(1),
  /** Requests or refunds part of a customer's allowance. */
  ALLOWANCE(2),
  /** Long poll for changes in the store, for an instance that does not watch it itself. */
  CHANGES(3),
  /** Reports endpoint processes that crashed while serving a content. */
  CRASHES(4),
  /** Reports an instance's counts of a rollout to another version. */
  MOVE(5),
  /** Asks for a permit of an endpoint with a rate limit, or tells what is known of the limit. */
  LIMIT(6),
  /** Reports crashes, answers and findings about parts of prompts that crash endpoints. */
  PARTS(7),
  /** Submits tickets to the coordinator of a service's queue and reports ended runs. */
  QUEUE(8),
  /** Tells an instance the decisions of the coordinator of a service's queue. */
  QUEUE_DECISIONS(9),
  /** Reports the runs that an instance has counted, for the usage reports. */
  USAGE(10),
  /** Reports an instance's demand to the instances that order endpoints. */
  DEMAND(11);

  private final byte code;

  PeerMessageKind(int code) {
    this.code = (byte) code;
  }

  /**
   * Returns the connection that calls of this kind use. A call without a reply in time closes its
   * connection with all other calls on it, and a deferred reply delays those behind it.
   */
  Lane lane() {
    return switch (this) {
      case CHANGES -> Lane.LONG_POLL;
      case QUEUE -> Lane.QUEUE;
      case QUEUE_DECISIONS -> Lane.QUEUE_DECISIONS;
      case VIEW, ALLOWANCE, CRASHES, MOVE, LIMIT, PARTS -> Lane.DEFAULT;
      case USAGE, DEMAND -> Lane.COUNTS;
    };
  }

  /** Calls that share a connection. */
  enum Lane {
    DEFAULT,
    /** Replies are deferred until an event. */
    LONG_POLL,
    /** Short timeouts of other calls must not end those that all waiting requests depend on. */
    QUEUE,
    /** Two instances may coordinate queues of each other; a lost push must not end their calls. */
    QUEUE_DECISIONS,
    /** Other calls time out after 120 ms, which must not end the periodic reports of counts. */
    COUNTS
  }

  byte code() {
    return code;
  }

  static PeerMessageKind ofCode(byte code) throws IOException {
    for (PeerMessageKind kind : values()) {
      if (kind.code == code) {
        return kind;
      }
    }
    throw new IOException("unknown peer message kind " + code);
  }
}
