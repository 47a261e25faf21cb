package org.buckthornferry.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.buckthornferry.dispatch.RateLimitNotice;
import org.buckthornferry.util.ExpiringTable;
import org.jboss.logging.Logger;

/**
 * The newest statement of each endpoint process about its rate limit. A limit belongs to a process:
 * a new process with the same id or address starts without one.
 */
final class KnownLimits {
  private static final Logger LOG = Logger.getLogger(KnownLimits.class);

  /** The maximum number of processes that are known to have a limit. */
  private static final int MAX_PROCESSES = 4_096;

  /** How long a statement that is not repeated is kept, in milliseconds. */
  private static final long RETENTION_MILLIS = 600_000;

  /**
   * The minimum age of a limit that a response without one can withdraw, in milliseconds. Responses
   * on different connections may arrive out of order by this much.
   */
  private static final long MIN_WITHDRAWAL_AGE_MILLIS = 250;

  private final ExpiringTable<Statement> statements = new ExpiringTable<>(MAX_PROCESSES);
  private final Set<String> limitedKeys = new HashSet<>();

  /**
   * A statement of an endpoint.
   *
   * @param statedNanos when an instance received it
   */
  record Statement(RateLimitNotice notice, long statedNanos) {
    boolean isLimited() {
      return notice.kind() == RateLimitNotice.Kind.LIMITED;
    }

    private boolean canBeWithdrawnBy(Statement later) {
      return isLimited()
          && later.statedNanos - statedNanos
              >= TimeUnit.MILLISECONDS.toNanos(MIN_WITHDRAWAL_AGE_MILLIS);
    }
  }

  /** Returns whether any process has a limit. Cheap, like {@link #isLimited}. */
  boolean hasLimits() {
    return !limitedKeys.isEmpty();
  }

  /** Returns whether a process has a limit. Called for each endpoint at each decision. */
  boolean isLimited(String processKey) {
    return limitedKeys.contains(processKey);
  }

  /** Forgets the limits that have not been named for long. */
  void removeExpired(long nowNanos) {
    limitedKeys.removeIf(processKey -> statements.get(processKey, nowNanos).isEmpty());
  }

  Optional<Statement> get(String processKey, long nowNanos) {
    return statements.get(processKey, nowNanos);
  }

  /** Returns the rate limit of a process in requests per second, or 0 when it has none. */
  double perSecond(String processKey, long nowNanos) {
    return limits(processKey, nowNanos)
        .filter(RateLimitNotice::hasRateLimit)
        .map(RateLimitNotice::perSecond)
        .orElse(0.0);
  }

  /** Returns the limits of a process, or empty when it has none. */
  Optional<RateLimitNotice> limits(String processKey, long nowNanos) {
    return statements.get(processKey, nowNanos).filter(Statement::isLimited).map(Statement::notice);
  }

  /**
   * Records a statement unless a newer one is known.
   *
   * @param source the instance from which this one heard it, for the log
   * @return whether the limit of the process changed
   */
  boolean merge(String processKey, Statement statement, String source, long nowNanos) {
    Statement known = statements.get(processKey, nowNanos).orElse(null);
    boolean isNewer = known == null || statement.statedNanos - known.statedNanos > 0;
    if (!isNewer || statement.notice.equals(RateLimitNotice.UNKNOWN)) {
      return false;
    }
    if (!statement.isLimited() && (known == null || !known.canBeWithdrawnBy(statement))) {
      return false;
    }
    RateLimitNotice before = known == null ? RateLimitNotice.UNLIMITED : known.notice;
    statements.put(
        processKey,
        statement,
        statement.statedNanos + TimeUnit.MILLISECONDS.toNanos(RETENTION_MILLIS));
    if (before.equals(statement.notice)) {
      return false;
    }
    if (statement.isLimited()) {
      limitedKeys.add(processKey);
      LOG.infof(
          "endpoint.limit_named endpoint=%s perSecond=%s maxRejectionsPerSecond=%s before=%s"
              + " heardFrom=%s",
          processKey,
          statement.notice.perSecond(),
          statement.notice.maxRejectionsPerSecond(),
          describe(before),
          source);
    } else {
      limitedKeys.remove(processKey);
      LOG.infof(
          "endpoint.limit_withdrawn endpoint=%s before=%s heardFrom=%s",
          processKey, describe(before), source);
    }
    return true;
  }

  /** Returns the limits of each limited process, by process key. */
  Map<String, RateLimitNotice> limited(long nowNanos) {
    Map<String, RateLimitNotice> limits = new HashMap<>();
    statements.forEach(
        nowNanos,
        (processKey, statement) -> {
          if (statement.isLimited()) {
            limits.put(processKey, statement.notice);
          }
        });
    return limits;
  }

  private static String describe(RateLimitNotice notice) {
    return notice.kind() == RateLimitNotice.Kind.LIMITED
        ? notice.perSecond() + "/" + notice.maxRejectionsPerSecond()
        : "none";
  }
}
