package org.buckthornferry.request;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Checks the history of one non-idempotent identity for linearizability with the Wing and Gong
 * algorithm. An operation without a response may have taken effect at any time after its start, or
 * never.
 */
final class ClaimHistory {
  private static final long NEVER = Long.MAX_VALUE;

  private final List<Operation> operations = new ArrayList<>();

  /** The kinds of operations of the sequential specification. */
  enum Kind {
    GRANTED,
    NO_REPLY,
    RUNNING,
    ANSWERED,
    UNKNOWN,
    OTHER,
    NOT_RUN,
    RELEASE,
    FAIL,
    ANSWER
  }

  private enum Phase {
    FREE,
    HELD,
    ANSWERED,
    UNKNOWN
  }

  private record State(Phase phase, int attempt) {}

  /** One operation; {@code attempt} is the number of the caller's attempt. */
  static final class Operation {
    private final int attempt;
    private final long startNanos;
    private Kind kind;
    private long endNanos = NEVER;

    private Operation(Kind kind, int attempt, long startNanos) {
      this.kind = kind;
      this.attempt = attempt;
      this.startNanos = startNanos;
    }

    int attempt() {
      return attempt;
    }

    void end(Kind result, long atNanos) {
      kind = result;
      endNanos = atNanos;
    }

    @Override
    public String toString() {
      return kind + "#" + attempt + "[" + startNanos / 1_000 + "," + endNanos / 1_000 + "]";
    }
  }

  Operation start(Kind kind, int attempt, long startNanos) {
    Operation operation = new Operation(kind, attempt, startNanos);
    operations.add(operation);
    return operation;
  }

  /**
   * Returns whether some order of the operations explains every response. A history of more than 60
   * operations is not searched and counts as linearizable.
   */
  boolean isLinearizable() {
    return operations.size() > 60 || search(0L, new State(Phase.FREE, -1), new HashSet<>());
  }

  private boolean search(long done, State state, Set<List<Object>> visited) {
    if (!visited.add(List.of(done, state))) {
      return false;
    }
    long firstEndNanos = NEVER;
    for (int i = 0; i < operations.size(); i++) {
      if ((done & (1L << i)) == 0) {
        firstEndNanos = Math.min(firstEndNanos, operations.get(i).endNanos);
      }
    }
    if (firstEndNanos == NEVER) {
      return true;
    }
    for (int i = 0; i < operations.size(); i++) {
      Operation next = operations.get(i);
      if ((done & (1L << i)) == 0 && next.startNanos <= firstEndNanos) {
        State after = apply(state, next);
        if (after != null && search(done | (1L << i), after, visited)) {
          return true;
        }
      }
    }
    return false;
  }

  private State apply(State state, Operation next) {
    boolean holds = state.attempt == next.attempt;
    boolean unsettled = state.phase == Phase.HELD || state.phase == Phase.UNKNOWN;
    return switch (next.kind) {
      case GRANTED, NO_REPLY ->
          state.phase == Phase.FREE ? new State(Phase.HELD, next.attempt) : null;
      case RUNNING ->
          state.phase == Phase.HELD || mayBeHeldByDelayedCopy(next) || overlaps(next)
              ? state
              : null;
      case ANSWERED -> state.phase == Phase.ANSWERED ? state : null;
      case UNKNOWN -> state.phase != Phase.FREE || mayBeHeldByDelayedCopy(next) ? state : null;
      case OTHER -> state;
      case NOT_RUN -> state.phase == Phase.FREE ? state : null;
      case RELEASE -> holds && unsettled ? new State(Phase.FREE, -1) : null;
      case FAIL -> holds && unsettled ? new State(Phase.UNKNOWN, next.attempt) : null;
      case ANSWER -> holds && unsettled ? new State(Phase.ANSWERED, next.attempt) : null;
    };
  }

  /**
   * Returns whether a delayed copy of another attempt's request may have held the claim. It can
   * hold the claim for a while, and its journal record makes a new owner answer "unknown"; neither
   * answer leads to a run.
   */
  private boolean mayBeHeldByDelayedCopy(Operation answered) {
    return operations.stream()
        .anyMatch(
            other ->
                other.attempt != answered.attempt
                    && other.kind != Kind.GRANTED
                    && other.startNanos <= answered.endNanos);
  }

  /**
   * Returns whether another attempt overlapped. An attempt that waits for its journal commit counts
   * as running, even if it is granted later.
   */
  private boolean overlaps(Operation running) {
    return operations.stream()
        .anyMatch(
            other ->
                other.attempt != running.attempt
                    && other.startNanos <= running.endNanos
                    && other.endNanos >= running.startNanos);
  }

  @Override
  public String toString() {
    return operations.toString();
  }
}
