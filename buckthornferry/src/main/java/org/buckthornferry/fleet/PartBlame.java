package org.buckthornferry.fleet;

import java.util.Collection;
import java.util.List;
import java.util.TreeSet;
import org.buckthornferry.request.ContentHash;

/**
 * The finding that a part of a prompt crashes endpoints.
 *
 * @param partIds the part, sorted together with those that occurred in all of its requests, so that
 *     the evidence does not tell them apart; only requests with all of them are refused
 * @param processes the number of processes that crashed
 * @param contents the number of different requests under which they crashed
 * @param incidents the number of crashes under requests that were sent after the one before
 * @param lastCrashNanos when the last of them crashed
 */
record PartBlame(
    List<String> partIds, int processes, int contents, int incidents, long lastCrashNanos) {
  /** Number of crashes from which coincidence is ruled out. */
  private static final int CERTAIN_PROCESSES = 4;

  PartBlame {
    partIds = List.copyOf(new TreeSet<>(partIds));
  }

  /** Returns a key of the parts, of constant length. */
  String key() {
    return ContentHash.of(String.join(",", partIds), new byte[0]).hex();
  }

  /**
   * Returns whether the crashes may be a coincidence, so that one request at a time may be sent as
   * a trial.
   */
  boolean isTentative() {
    return processes < CERTAIN_PROCESSES || incidents < 2;
  }

  /** Returns the parts that have not been answered since the last crash; none if all have. */
  List<String> remainingParts(SoundParts soundParts) {
    return soundParts.withoutAnswerSince(partIds, lastCrashNanos);
  }

  /** Returns whether requests with these parts are to be refused. */
  boolean matches(Collection<String> requestPartIds, SoundParts soundParts) {
    List<String> remaining = remainingParts(soundParts);
    return !remaining.isEmpty() && requestPartIds.containsAll(remaining);
  }

  /** Returns this finding with the evidence of another one of the same parts. */
  PartBlame union(PartBlame other) {
    long lastNanos =
        other.lastCrashNanos - lastCrashNanos > 0 ? other.lastCrashNanos : lastCrashNanos;
    return new PartBlame(
        partIds,
        Math.max(processes, other.processes),
        Math.max(contents, other.contents),
        Math.max(incidents, other.incidents),
        lastNanos);
  }

  @Override
  public String toString() {
    return String.join(",", partIds);
  }
}
