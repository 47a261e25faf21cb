package org.buckthornferry.duty;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.ToLongFunction;
import java.util.random.RandomGenerator;
import org.buckthornferry.control.Blackboard;
import org.buckthornferry.fleet.FleetView;
import org.buckthornferry.fleet.StoreView;
import org.buckthornferry.store.Lease;
import org.buckthornferry.store.SharedStore;
import org.buckthornferry.store.StoreException;
import org.buckthornferry.store.StoreException.Kind;
import org.buckthornferry.store.StoreItem;
import org.buckthornferry.store.StorePosition;
import org.buckthornferry.store.StoreTransaction;
import org.buckthornferry.util.Completions;
import org.buckthornferry.util.MonotonicClock;
import org.buckthornferry.util.Rendezvous;
import org.buckthornferry.util.Scheduler;
import org.jboss.logging.Logger;

/**
 * Elects the holder of one subject. The holder has written a key under a lease of its own, which it
 * renews; the others wait until the key is gone and then try to write it in the order of their
 * rendezvous hash. Whoever can renew its lease stays the holder.
 *
 * <p>The holder acts only for a time shorter than the lease, counted from the sending of the last
 * renewal that succeeded. A store that was restored may have lost the key of a holder that still
 * acts, so that the others first wait for one lease.
 */
final class StoreDutyHolder implements DutyHolder {
  private static final Logger LOG = Logger.getLogger(StoreDutyHolder.class);

  /** Delay per candidate that precedes this one, in milliseconds; longer than a usual write. */
  private static final long CANDIDATE_STEP_MILLIS = 200;

  /** Candidates beyond this rank try at the same time; the store accepts one of them. */
  private static final int MAX_CANDIDATE_RANK = 12;

  /** Mean delay before a failed call to the store is repeated, in milliseconds. */
  private static final long RETRY_MILLIS = 300;

  /**
   * Largest mean delay before another try after a lease was not granted, in milliseconds. The delay
   * doubles from {@link #RETRY_MILLIS}, because all instances try while the store is away.
   */
  private static final long MAX_GRANT_RETRY_MILLIS = 5_000;

  /** Mean delay before another try after a write that the store declined, in milliseconds. */
  private static final long WRITE_RETRY_MILLIS = 1_000;

  /** Time after which a renewal without a reply is repeated, in milliseconds. */
  private static final long RENEWAL_REPLY_MILLIS = 500;

  /**
   * Renewals without a reply after which a holder gives up: if only the replies are lost, it would
   * otherwise keep the lease without being able to act.
   */
  private static final int MAX_UNCONFIRMED_RENEWALS = 3;

  private final DutySubject subject;
  private final Listener listener;
  private final SharedStore store;
  private final StoreView view;
  private final Blackboard blackboard;
  private final String selfId;
  private final LeaseTerms terms;
  private final ToLongFunction<StorePosition> tokens;
  private final BooleanSupplier isEraSettled;
  private final Scheduler scheduler;
  private final MonotonicClock clock;
  private final RandomGenerator random;
  private final String key;
  private Phase phase = Phase.NEW;
  private Scheduler.Task nextStep = Scheduler.Task.NONE;
  private boolean isStepScheduled;
  private Optional<Attempt> attempt = Optional.empty();
  private Optional<Lease> attemptLease = Optional.empty();
  private Optional<Tenure> tenure = Optional.empty();
  private String lastValue = "";
  private long notBeforeNanos;
  private long grantRetryMillis = RETRY_MILLIS;
  private boolean mayTakeOverAtOnce;

  private enum Phase {
    NEW,
    /** Waits until the subject has no holder. */
    CANDIDATE,
    /** Tries to write the holder's key. */
    ACQUIRING,
    /** Has written the holder's key and renews its lease. */
    HOLDING,
    STOPPED
  }

  /**
   * One try to become the holder.
   *
   * @param value the value of the key, which no other try has
   * @param sentNanos when the lease was asked for
   * @param era the store's era in which no other holder may act
   */
  private record Attempt(String value, long sentNanos, long era) {}

  /** The time as holder, under one token. */
  private static final class Tenure {
    private final Lease lease;
    private final StorePosition since;
    private final long token;
    private long renewalSentNanos;
    private int unconfirmedRenewals;
    private boolean hasEnded;

    private Tenure(Lease lease, StorePosition since, long token, long renewalSentNanos) {
      this.lease = lease;
      this.since = since;
      this.token = token;
      this.renewalSentNanos = renewalSentNanos;
    }
  }

  /**
   * Creates a holder that does not stand for election until started.
   *
   * @param isEraSettled returns whether no earlier holder may still act that the store does not
   *     name
   * @param clock counts suspensions of the process
   */
  StoreDutyHolder(
      DutySubject subject,
      Listener listener,
      SharedStore store,
      StoreView view,
      Blackboard blackboard,
      String selfId,
      LeaseTerms terms,
      ToLongFunction<StorePosition> tokens,
      BooleanSupplier isEraSettled,
      Scheduler scheduler,
      MonotonicClock clock,
      RandomGenerator random) {
    this.subject = subject;
    this.listener = listener;
    this.store = store;
    this.view = view;
    this.blackboard = blackboard;
    this.selfId = selfId;
    this.terms = terms;
    this.tokens = tokens;
    this.isEraSettled = isEraSettled;
    this.scheduler = scheduler;
    this.clock = clock;
    this.random = random;
    this.key = key(subject);
  }

  /** Returns the key of the present holder. */
  static String key(DutySubject subject) {
    return StoreDutyHolders.PREFIX + subject + "/holder";
  }

  @Override
  public DutySubject subject() {
    return subject;
  }

  @Override
  public void start() {
    if (phase != Phase.NEW) {
      return;
    }
    phase = Phase.CANDIDATE;
    notBeforeNanos = clock.nanoTime();
    consider();
  }

  @Override
  public CompletableFuture<Void> stop() {
    final Optional<Tenure> last = tenure;
    phase = Phase.STOPPED;
    cancelStep();
    attempt = Optional.empty();
    tenure = Optional.empty();
    if (last.isEmpty()) {
      return CompletableFuture.completedFuture(null);
    }
    LOG.infof("duty.released subject=%s token=%d", subject, last.get().token);
    listener.onLost(last.get().token);
    return isWithinAuthority(last.get().renewalSentNanos, clock.nanoTime())
        ? release(last.get())
        : CompletableFuture.completedFuture(null);
  }

  boolean isStopped() {
    return phase == Phase.STOPPED;
  }

  @Override
  public Optional<StoreTransaction.Condition> storeCondition() {
    return tenure.map(held -> new StoreTransaction.Condition(key, held.since.revision()));
  }

  @Override
  public Optional<Long> fencingToken() {
    return tenure
        .filter(held -> !held.hasEnded)
        .filter(held -> isWithinAuthority(held.renewalSentNanos, clock.nanoTime()))
        .map(held -> held.token);
  }

  @Override
  public Optional<String> holderId() {
    return storedItem().map(item -> holderOf(item.text()));
  }

  @Override
  public void onReply(long fencingToken, DutyReply reply) {
    boolean isOfTenure = tenure.filter(held -> held.token == fencingToken).isPresent();
    if (!reply.endsToken() || !isOfTenure) {
      return;
    }
    // The lease is left to expire: see release.
    lose("the platform has seen a higher token");
  }

  /** Called when the items of any subject may have changed in the view. */
  void onStoreChanged() {
    switch (phase) {
      case CANDIDATE -> consider();
      case ACQUIRING -> {
        if (attempt.isPresent()) {
          storedItem().ifPresent(item -> adoptIfOwn(item, view.position().era()));
        }
      }
      case HOLDING -> checkTenure();
      case NEW, STOPPED -> {}
      default -> throw new IllegalStateException("unknown phase " + phase);
    }
  }

  /** Returns the holder's key if the store has it; one that a restored store has lost is gone. */
  private Optional<StoreItem> storedItem() {
    return view.item(key).filter(StoreItem::isStored);
  }

  private static String holderOf(String value) {
    return value.substring(value.indexOf(' ') + 1);
  }

  private boolean isWithinAuthority(long sentNanos, long nowNanos) {
    return nowNanos - sentNanos < TimeUnit.MILLISECONDS.toNanos(terms.authorityMillis());
  }

  private void scheduleStep(Runnable step, long delayMillis) {
    cancelStep();
    isStepScheduled = true;
    nextStep =
        scheduler.schedule(
            () -> {
              isStepScheduled = false;
              step.run();
            },
            Math.max(0, delayMillis));
  }

  private void cancelStep() {
    nextStep.cancel();
    isStepScheduled = false;
  }

  private long jittered(long millis) {
    return (long) (millis * (0.75 + 0.5 * random.nextDouble()));
  }

  private long millisUntil(long nanos) {
    return TimeUnit.NANOSECONDS.toMillis(nanos - clock.nanoTime()) + 1;
  }

  /** Schedules a try to become the holder, if the subject has none. */
  private void consider() {
    if (phase != Phase.CANDIDATE) {
      return;
    }
    if (isOccupied()) {
      mayTakeOverAtOnce = false;
      cancelStep();
      // The view does not report the end of a key that a restored store had brought back.
      nextStep = scheduler.schedule(this::consider, terms.ttlMillis());
      return;
    }
    if (isStepScheduled || !mayAcquire()) {
      return;
    }
    scheduleStep(
        this::acquire,
        mayTakeOverAtOnce ? 0 : Math.max(millisUntil(notBeforeNanos), rankDelayMillis()));
  }

  private boolean isOccupied() {
    return storedItem().filter(item -> !isOwnRestored(item)).isPresent()
        || !view.resurrectedItems(key).isEmpty();
  }

  private boolean isOwnRestored(StoreItem item) {
    return mayTakeOverAtOnce && item.text().equals(lastValue);
  }

  /**
   * An earlier holder may act for one lease after the store was restored, unless this instance is
   * that holder.
   */
  private boolean mayAcquire() {
    return mayTakeOverAtOnce || isEraSettled.getAsBoolean();
  }

  private long rankDelayMillis() {
    // After all registrations have ended, each instance lists only itself.
    List<String> candidates = blackboard.read(FleetView.ENTRY).instanceIds();
    int rank =
        candidates.contains(selfId) ? Rendezvous.rank(key, selfId, candidates) : MAX_CANDIDATE_RANK;
    return jittered(CANDIDATE_STEP_MILLIS / 4)
        + CANDIDATE_STEP_MILLIS * Math.min(rank, MAX_CANDIDATE_RANK);
  }

  private void acquire() {
    if (phase != Phase.CANDIDATE || isOccupied() || !mayAcquire()) {
      // A step that became due while the process was suspended cannot be cancelled any more.
      return;
    }
    phase = Phase.ACQUIRING;
    long revision = storedItem().map(StoreItem::revision).orElse(0L);
    long sentNanos = clock.nanoTime();
    Attempt current =
        new Attempt(
            Long.toHexString(random.nextLong()) + " " + selfId, sentNanos, view.position().era());
    attempt = Optional.of(current);
    attemptLease = Optional.empty();
    Completions.onComplete(
        store.grantLease(terms.ttlMillis()),
        (lease, failure) -> {
          if (!isCurrent(current)) {
            return;
          }
          if (failure != null) {
            long delayMillis = Math.min(MAX_GRANT_RETRY_MILLIS, jittered(grantRetryMillis));
            grantRetryMillis = Math.min(MAX_GRANT_RETRY_MILLIS, 2 * grantRetryMillis);
            abandon("no lease: " + failure.getMessage(), delayMillis);
          } else if (lease.era() != current.era) {
            abandon("the store was restored", terms.ttlMillis());
          } else {
            write(current, lease, revision);
          }
        });
  }

  private boolean isCurrent(Attempt tried) {
    return attempt.equals(Optional.of(tried));
  }

  private void write(Attempt tried, Lease lease, long revision) {
    attemptLease = Optional.of(lease);
    StoreTransaction change =
        StoreTransaction.put(
                key, tried.value.getBytes(StandardCharsets.UTF_8), OptionalLong.of(lease.id()))
            .onlyIf(key, revision);
    Completions.onComplete(
        store.apply(change),
        (position, failure) -> {
          if (!isCurrent(tried)) {
            return;
          }
          if (failure == null) {
            hold(tried, lease, position);
          } else if (StoreException.kindOf(failure) == Kind.OUTCOME_UNKNOWN) {
            LOG.infof("duty.write_unknown subject=%s reason=\"%s\"", subject, failure);
            readBack(tried);
          } else {
            // On a conflict, the view is about to show the holder.
            abandon("not written: " + failure.getMessage(), jittered(WRITE_RETRY_MILLIS));
          }
        });
  }

  /**
   * Finds out whether a write without a reply has taken effect. It may do so later, which the view
   * shows; another try follows when the lease of this one has ended.
   */
  private void readBack(Attempt tried) {
    if (!isWithinAuthority(tried.sentNanos, clock.nanoTime())) {
      abandon("the outcome of the write is unknown", terms.ttlMillis() - terms.authorityMillis());
      return;
    }
    Completions.onComplete(
        store.list(key, ""),
        (page, failure) -> {
          if (!isCurrent(tried)) {
            return;
          }
          if (failure == null) {
            page.items().stream()
                .filter(item -> item.key().equals(key))
                .forEach(item -> adoptIfOwn(item, page.position().era()));
          }
          if (isCurrent(tried)) {
            scheduleStep(() -> readBack(tried), jittered(2 * RETRY_MILLIS));
          }
        });
  }

  /** Becomes the holder if the current try has written the key. */
  private void adoptIfOwn(StoreItem item, long era) {
    Attempt tried = attempt.orElseThrow();
    if (!item.isRemoval() && item.text().equals(tried.value) && attemptLease.isPresent()) {
      hold(tried, attemptLease.get(), new StorePosition(era, item.revision()));
    }
  }

  private void hold(Attempt tried, Lease lease, StorePosition since) {
    if (lease.era() != since.era()) {
      abandon("the store was restored", terms.ttlMillis());
      return;
    }
    if (!isWithinAuthority(tried.sentNanos, clock.nanoTime())) {
      abandon("the lease ends too soon", jittered(RETRY_MILLIS));
      return;
    }
    phase = Phase.HOLDING;
    attempt = Optional.empty();
    lastValue = tried.value;
    grantRetryMillis = RETRY_MILLIS;
    mayTakeOverAtOnce = false;
    Tenure gained = new Tenure(lease, since, tokens.applyAsLong(since), tried.sentNanos);
    tenure = Optional.of(gained);
    LOG.infof("duty.gained subject=%s token=%d position=%s", subject, gained.token, since);
    scheduleRenewal(gained);
    listener.onGained(gained.token);
  }

  private void abandon(String reason, long delayMillis) {
    LOG.infof("duty.not_gained subject=%s reason=\"%s\"", subject, reason);
    phase = Phase.CANDIDATE;
    attempt = Optional.empty();
    mayTakeOverAtOnce = false;
    notBeforeNanos = clock.nanoTime() + TimeUnit.MILLISECONDS.toNanos(delayMillis);
    cancelStep();
    consider();
  }

  private void scheduleRenewal(Tenure held) {
    long dueNanos = held.renewalSentNanos + TimeUnit.MILLISECONDS.toNanos(terms.renewalMillis());
    scheduleStep(() -> renew(held), millisUntil(dueNanos));
  }

  /** Renews the lease; repeats that until there is a reply, also when this instance may not act. */
  private void renew(Tenure held) {
    if (!isOngoing(held) || held.hasEnded) {
      return;
    }
    if (held.unconfirmedRenewals >= MAX_UNCONFIRMED_RENEWALS) {
      lose("renewals have no replies");
      return;
    }
    held.unconfirmedRenewals++;
    long sentNanos = clock.nanoTime();
    scheduleStep(() -> renew(held), RENEWAL_REPLY_MILLIS);
    Completions.onComplete(
        store.renewLease(held.lease),
        (done, failure) -> {
          if (!isOngoing(held) || held.hasEnded) {
            return;
          }
          if (failure == null) {
            boolean isLatest = sentNanos - held.renewalSentNanos > 0;
            held.renewalSentNanos = isLatest ? sentNanos : held.renewalSentNanos;
            held.unconfirmedRenewals = 0;
            scheduleRenewal(held);
            return;
          }
          Kind kind = StoreException.kindOf(failure);
          if (kind == Kind.LEASE_EXPIRED) {
            onLeaseEnded(held);
            return;
          }
          LOG.infof("duty.not_renewed subject=%s reason=\"%s\"", subject, failure.getMessage());
          held.unconfirmedRenewals -= kind == Kind.OUTCOME_UNKNOWN ? 0 : 1;
          scheduleStep(() -> renew(held), jittered(RETRY_MILLIS));
        });
  }

  /**
   * Stops acting. A lease ends early only when the store was restored, which the view is about to
   * show; this instance may then take over at once.
   */
  private void onLeaseEnded(Tenure held) {
    held.hasEnded = true;
    long untilNanos =
        held.renewalSentNanos + TimeUnit.MILLISECONDS.toNanos(terms.authorityMillis());
    scheduleStep(
        () -> {
          if (isOngoing(held)) {
            lose("the lease has ended");
          }
        },
        millisUntil(untilNanos));
  }

  private boolean isOngoing(Tenure held) {
    return tenure.filter(current -> current == held).isPresent();
  }

  /** Gives the subject up if the view shows that the store no longer has this tenure. */
  private void checkTenure() {
    Tenure held = tenure.orElseThrow();
    if (view.position().compareTo(held.since) < 0) {
      return;
    }
    boolean isStored =
        view.position().era() == held.since.era()
            && storedItem().filter(item -> item.revision() == held.since.revision()).isPresent();
    if (!isStored) {
      lose("the store no longer names this instance");
    }
  }

  private void lose(String reason) {
    Tenure last = tenure.orElseThrow();
    LOG.infof("duty.lost subject=%s token=%d reason=\"%s\"", subject, last.token, reason);
    tenure = Optional.empty();
    phase = Phase.CANDIDATE;
    cancelStep();
    long nowNanos = clock.nanoTime();
    // After a restore, this instance is the only one that may have acted.
    mayTakeOverAtOnce =
        view.position().era() > last.since.era()
            && isWithinAuthority(last.renewalSentNanos, nowNanos);
    notBeforeNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(terms.ttlMillis());
    listener.onLost(last.token);
    consider();
  }

  /**
   * Removes the key, so that a successor need not wait for the end of the lease. Only while this
   * instance may act: later the store may have been restored, and the same revision of the key may
   * belong to another holder.
   */
  private CompletableFuture<Void> release(Tenure last) {
    return store
        .apply(StoreTransaction.removal(key).onlyIf(key, last.since.revision()))
        .handle((position, failure) -> null);
  }
}
