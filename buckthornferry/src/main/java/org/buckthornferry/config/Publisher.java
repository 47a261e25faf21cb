package org.buckthornferry.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Executor;
import java.util.random.RandomGenerator;
import org.buckthornferry.store.KeyValueStore;
import org.buckthornferry.store.StoreException;
import org.buckthornferry.store.VersionedValue;
import org.buckthornferry.util.Checks;
import org.buckthornferry.util.Completions;

/**
 * Publishes declarations as the next revision at {@code config/current}.
 *
 * <p>Futures fail with {@link ConfigConflictException} when another operator published first, with
 * {@link ConfigException} when the declarations are rejected, and with {@link StoreException} when
 * the store cannot be reached. {@code OUTCOME_UNKNOWN} is reported only when the outcome could not
 * be read back either.
 */
public final class Publisher {
  private static final int MAX_ATTEMPTS = 5;

  private final KeyValueStore store;
  private final RandomGenerator random;
  private final Executor retryExecutor;

  private record BaseRevision(long version, EncodedRevision revision) {}

  /**
   * Creates a publisher.
   *
   * @param random generates the attempt ids, which must be unique among the publishes of all
   *     operators
   * @param retryExecutor runs a retry after a delay, such as {@link
   *     CompletableFuture#delayedExecutor(long, java.util.concurrent.TimeUnit)}
   */
  public Publisher(KeyValueStore store, RandomGenerator random, Executor retryExecutor) {
    this.store = Checks.notNull(store, "store");
    this.random = Checks.notNull(random, "random");
    this.retryExecutor = Checks.notNull(retryExecutor, "retryExecutor");
  }

  /** Returns the stored revision, or {@link EncodedRevision#NONE} before the first publish. */
  public CompletableFuture<EncodedRevision> current() {
    return read().thenApply(BaseRevision::revision);
  }

  /**
   * Publishes declarations on top of the stored revision. Failure domains stay drained until {@link
   * #returnDomain}.
   */
  public CompletableFuture<PublishResult> publish(Declarations declarations) {
    Checks.notNull(declarations, "declarations");
    return read().thenCompose(base -> swap(base, keepDrainStates(declarations, base.revision)));
  }

  /** Publishes declarations only if {@code expectedRevision} is the stored revision. */
  public CompletableFuture<PublishResult> publish(
      Declarations declarations, long expectedRevision) {
    Checks.notNull(declarations, "declarations");
    return read()
        .thenCompose(
            base ->
                base.revision.snapshot().revision() == expectedRevision
                    ? swap(base, keepDrainStates(declarations, base.revision))
                    : conflict(expectedRevision, base.revision));
  }

  /** Publishes a revision in which a failure domain is drained. */
  public CompletableFuture<PublishResult> drain(String failureDomain) {
    return setDrained(failureDomain, true, MAX_ATTEMPTS);
  }

  /** Publishes a revision in which a failure domain is no longer drained. */
  public CompletableFuture<PublishResult> returnDomain(String failureDomain) {
    return setDrained(failureDomain, false, MAX_ATTEMPTS);
  }

  /**
   * Retries after a conflict on top of the newer revision, which is safe because the change depends
   * on no other part of the revision.
   */
  private CompletableFuture<PublishResult> setDrained(
      String failureDomain, boolean drained, int attemptsLeft) {
    return Completions.thenOnOutcome(
        read().thenCompose(base -> swapDrained(base, failureDomain, drained)),
        (result, failure) -> {
          if (failure == null) {
            return CompletableFuture.completedFuture(result);
          }
          if (causeOf(failure) instanceof ConfigConflictException && attemptsLeft > 1) {
            return setDrained(failureDomain, drained, attemptsLeft - 1);
          }
          return CompletableFuture.failedFuture(causeOf(failure));
        });
  }

  private CompletableFuture<PublishResult> swapDrained(
      BaseRevision base, String failureDomain, boolean drained) {
    Declarations declarations = base.revision.snapshot().declarations();
    if (declarations.failureDomains().stream()
        .noneMatch(domain -> domain.id().equals(failureDomain))) {
      return CompletableFuture.failedFuture(unknownDomain(failureDomain, declarations));
    }
    if (declarations.isDrained(failureDomain) == drained) {
      return CompletableFuture.completedFuture(
          new PublishResult(base.revision.snapshot().revision(), "", false));
    }
    return swap(base, withDrained(declarations, failureDomain, drained));
  }

  private CompletableFuture<BaseRevision> read() {
    return store
        .get(EncodedRevision.KEY)
        .thenApply(
            value ->
                value.map(Publisher::toBase).orElse(new BaseRevision(0, EncodedRevision.NONE)));
  }

  private static BaseRevision toBase(VersionedValue value) {
    return new BaseRevision(value.version(), EncodedRevision.decode(value.value()));
  }

  private CompletableFuture<PublishResult> swap(BaseRevision base, Declarations declarations) {
    String attemptId = String.format("%016x%016x", random.nextLong(), random.nextLong());
    EncodedRevision next = base.revision.next(attemptId, declarations);
    if (next.bytes().length > EncodedRevision.MAX_ENCODED_BYTES) {
      return CompletableFuture.failedFuture(tooLarge(next.bytes().length));
    }
    return compareAndSwap(base, next, MAX_ATTEMPTS, false);
  }

  /**
   * Repeats the compare-and-swap until its outcome is certain or the attempts are used up. Retrying
   * with the same expected version and attempt id is safe: at most one call takes effect, and a
   * late one conflicts.
   */
  private CompletableFuture<PublishResult> compareAndSwap(
      BaseRevision base, EncodedRevision next, int attemptsLeft, boolean mayHaveSucceeded) {
    return Completions.thenOnOutcome(
        store.compareAndSwap(
            EncodedRevision.KEY, base.version, next.bytes(), next.snapshot().attemptId()),
        (version, failure) -> afterSwap(base, next, attemptsLeft, mayHaveSucceeded, failure));
  }

  private CompletableFuture<PublishResult> afterSwap(
      BaseRevision base,
      EncodedRevision next,
      int attemptsLeft,
      boolean mayHaveSucceeded,
      Throwable failure) {
    if (failure == null) {
      return published(next);
    }
    StoreException.Kind kind = StoreException.kindOf(failure);
    boolean uncertain =
        mayHaveSucceeded
            || kind == StoreException.Kind.CONFLICT
            || kind == StoreException.Kind.OUTCOME_UNKNOWN;
    return uncertain
        ? readBack(base, next, attemptsLeft)
        : CompletableFuture.failedFuture(causeOf(failure));
  }

  private CompletableFuture<PublishResult> readBack(
      BaseRevision base, EncodedRevision next, int attemptsLeft) {
    return Completions.thenOnOutcome(
        store.get(EncodedRevision.KEY),
        (value, failure) -> afterReadBack(base, next, attemptsLeft, value, failure));
  }

  private CompletableFuture<PublishResult> afterReadBack(
      BaseRevision base,
      EncodedRevision next,
      int attemptsLeft,
      Optional<VersionedValue> value,
      Throwable failure) {
    if (failure == null) {
      return resolve(base, next, value, attemptsLeft);
    }
    return attemptsLeft > 1 ? retryLater(base, next, attemptsLeft - 1) : outcomeUnknown(next);
  }

  private CompletableFuture<PublishResult> resolve(
      BaseRevision base, EncodedRevision next, Optional<VersionedValue> value, int attemptsLeft) {
    BaseRevision found =
        value.map(Publisher::toBase).orElse(new BaseRevision(0, EncodedRevision.NONE));
    if (found.revision.includes(next.snapshot().attemptId())) {
      return published(next);
    }
    if (found.version != base.version) {
      return conflict(base.revision.snapshot().revision(), found.revision);
    }
    return attemptsLeft > 1 ? retryLater(base, next, attemptsLeft - 1) : outcomeUnknown(next);
  }

  private CompletableFuture<PublishResult> retryLater(
      BaseRevision base, EncodedRevision next, int attemptsLeft) {
    return CompletableFuture.supplyAsync(() -> Boolean.TRUE, retryExecutor)
        .thenCompose(ignored -> compareAndSwap(base, next, attemptsLeft, true));
  }

  private static CompletableFuture<PublishResult> published(EncodedRevision next) {
    ConfigSnapshot snapshot = next.snapshot();
    return CompletableFuture.completedFuture(
        new PublishResult(snapshot.revision(), snapshot.attemptId(), true));
  }

  private static <T> CompletableFuture<T> conflict(long expected, EncodedRevision found) {
    ConfigSnapshot snapshot = found.snapshot();
    return CompletableFuture.failedFuture(
        new ConfigConflictException(expected, snapshot.revision(), snapshot.attemptId()));
  }

  private static <T> CompletableFuture<T> outcomeUnknown(EncodedRevision next) {
    return CompletableFuture.failedFuture(
        new StoreException(
            StoreException.Kind.OUTCOME_UNKNOWN,
            "the outcome of attempt "
                + next.snapshot().attemptId()
                + " for revision "
                + next.snapshot().revision()
                + " could not be read back"));
  }

  private static Throwable causeOf(Throwable failure) {
    Throwable cause = failure;
    while (cause instanceof CompletionException && cause.getCause() != null) {
      cause = cause.getCause();
    }
    return cause;
  }

  private static ConfigException tooLarge(int encodedBytes) {
    return new ConfigException(
        List.of(
            new ConfigProblem(
                EncodedRevision.KEY,
                "$",
                encodedBytes + " bytes",
                "at most " + EncodedRevision.MAX_ENCODED_BYTES + " bytes after compression")));
  }

  private static ConfigException unknownDomain(String failureDomain, Declarations declarations) {
    List<String> known = new ArrayList<>();
    declarations.failureDomains().forEach(domain -> known.add(domain.id()));
    return new ConfigException(
        List.of(
            new ConfigProblem(
                EncodedRevision.KEY,
                "$.failureDomains",
                failureDomain,
                "one of the failure domains " + known)));
  }

  private static Declarations keepDrainStates(Declarations declarations, EncodedRevision current) {
    Declarations result = declarations;
    for (FailureDomainDeclaration domain : declarations.failureDomains()) {
      if (current.snapshot().declarations().isDrained(domain.id())) {
        result = withDrained(result, domain.id(), true);
      }
    }
    return result;
  }

  private static Declarations withDrained(
      Declarations declarations, String failureDomain, boolean drained) {
    List<FailureDomainDeclaration> domains = new ArrayList<>();
    for (FailureDomainDeclaration domain : declarations.failureDomains()) {
      domains.add(domain.id().equals(failureDomain) ? domain.withDrained(drained) : domain);
    }
    return new Declarations(domains, declarations.customers(), declarations.services());
  }
}
