package org.buckthornferry.fleet;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.buckthornferry.catalog.Endpoint;
import org.buckthornferry.control.Blackboard;
import org.buckthornferry.endpoint.Verdict;
import org.buckthornferry.store.SharedStore;
import org.buckthornferry.store.StoreException;
import org.buckthornferry.store.StoreException.Kind;
import org.buckthornferry.store.StoreItem;
import org.buckthornferry.store.StoreTransaction;
import org.buckthornferry.util.AgedTable;
import org.buckthornferry.util.Completions;
import org.buckthornferry.util.MonotonicClock;
import org.buckthornferry.util.Rendezvous;
import org.buckthornferry.util.Scheduler;
import org.jboss.logging.Logger;

/**
 * Remembers under which contents endpoints have ended, over all attempts of callers and all
 * instances. Content under which three processes have ended, on more than one occasion, is
 * quarantined; an answer to it clears it, because content that ends every endpoint is never
 * answered.
 *
 * <p>Most contents that were at an endpoint when it ended are sound and end no second one. So a
 * first crash is told only to the content's owner, an instance chosen by its hash. Whoever knows of
 * two writes them to the store, which every instance follows and which outlives all of them.
 */
public final class ContentQuarantine implements StoreView.Section {
  private static final Logger LOG = Logger.getLogger(ContentQuarantine.class);

  static final String PREFIX = "buckthornferry/crashes/";

  /** Processes that have ended under a content from which on the store is told. */
  private static final int STORED_PROCESSES = 2;

  /** How long crashes are remembered, in milliseconds; the longest time to live of a lease. */
  static final long VALID_MILLIS = 600_000;

  /** A lease is used for new entries up to this age, so that they last at least as long again. */
  private static final long LEASE_REUSE_MILLIS = VALID_MILLIS / 2;

  /** The most contents that are remembered; about 200 bytes each. */
  private static final int MAX_CONTENTS = 2_000;

  /** How long the owner may take to reply, in milliseconds. */
  private static final long ASK_TIMEOUT_MILLIS = 300;

  /**
   * The first pause before the store is tried again, in milliseconds; doubles up to the longest.
   */
  private static final long FIRST_RETRY_MILLIS = 250;

  /** Well below the time after an outage of the store from which bounds hold again. */
  private static final long MAX_RETRY_MILLIS = 1_000;

  private final SharedStore store;
  private final StoreView view;
  private final Blackboard blackboard;
  private final PeerCaller peers;
  private final String selfId;
  private final Scheduler scheduler;
  private final MonotonicClock clock;
  private final LongSupplier epochMillis;
  private final AgedTable<ContentCrashes> heard = new AgedTable<>(MAX_CONTENTS);
  private final Map<String, Stored> stored = new HashMap<>();
  private final Set<String> listed = new HashSet<>();
  private final Set<String> writing = new HashSet<>();
  private Map<String, InetSocketAddress> owners = Map.of();
  private OptionalLong leaseId = OptionalLong.empty();
  private long leaseGrantedNanos;

  private record Stored(long revision, ContentCrashes crashes) {}

  /** Creates a quarantine that knows of no crash. */
  public ContentQuarantine(
      SharedStore store,
      StoreView view,
      Blackboard blackboard,
      PeerCaller peers,
      String selfId,
      Scheduler scheduler,
      MonotonicClock clock,
      LongSupplier epochMillis) {
    this.store = store;
    this.view = view;
    this.blackboard = blackboard;
    this.peers = peers;
    this.selfId = selfId;
    this.scheduler = scheduler;
    this.clock = clock;
    this.epochMillis = epochMillis;
    view.add(this);
  }

  /** Returns whether nothing is held against any content, so that none has to be looked up. */
  public boolean isEmpty() {
    return stored.isEmpty() && heard.isEmptyAt(clock.nanoTime());
  }

  /** Returns what is held against a content. */
  public Verdict verdict(String contentHash) {
    return crashes(contentHash).verdict();
  }

  /** Returns for how long a quarantined content is refused at most, in milliseconds. */
  public long remainingMillis(String contentHash) {
    long heardMillis =
        TimeUnit.NANOSECONDS.toMillis(heard.remainingNanos(contentHash, clock.nanoTime()));
    return heardMillis > 0 ? heardMillis : VALID_MILLIS;
  }

  /**
   * An endpoint has ended, or broken its connection, while it had a request of this content.
   *
   * @param sinceSentMillis how long it had the request
   */
  public void onCrash(String contentHash, Endpoint endpoint, long sinceSentMillis) {
    long nowEpochMillis = epochMillis.getAsLong();
    learn(
        contentHash,
        ContentCrashes.of(
            endpoint.id() + "@" + endpoint.startedEpochMillis(),
            new ContentCrashes.Crash(nowEpochMillis - sinceSentMillis, nowEpochMillis)));
    LOG.infof(
        "content.crash hash=%s endpoint=%s crashes=%s verdict=%s",
        contentHash, endpoint.id(), crashes(contentHash), verdict(contentHash));
    if (crashes(contentHash).processes() < STORED_PROCESSES) {
      tellOwner(contentHash);
    }
    writeIfSuspect(contentHash);
  }

  /** A request of this content was answered in full. */
  public void onServed(String contentHash) {
    ContentCrashes crashes = crashes(contentHash);
    if (crashes.isEmpty()) {
      return;
    }
    LOG.infof("content.cleared hash=%s crashes=%s", contentHash, crashes);
    heard.remove(contentHash);
    if (stored.remove(contentHash) != null) {
      remove(contentHash);
    }
    tellOwner(contentHash);
  }

  /** Takes over instances; the crashes of contents that have a new owner are told to it. */
  public void refresh() {
    Map<String, InetSocketAddress> listed = blackboard.read(FleetView.ENTRY).listed();
    if (listed.keySet().equals(owners.keySet())) {
      owners = listed;
      return;
    }
    Map<String, InetSocketAddress> before = owners;
    owners = listed;
    heard.forEach(
        clock.nanoTime(),
        (hash, crashes) -> {
          boolean hasMoved =
              !Rendezvous.first(hash, before.keySet())
                  .equals(Rendezvous.first(hash, owners.keySet()));
          if (hasMoved && crashes.processes() < STORED_PROCESSES) {
            tellOwner(hash);
          }
        });
  }

  /** Answers another instance that takes this one for the owner of a content. */
  public byte[] answer(byte[] message) throws IOException {
    ContentMessages.Told told = ContentMessages.decode(message);
    if (told.crashes().isEmpty()) {
      heard.remove(told.contentHash());
    } else {
      learn(told.contentHash(), told.crashes());
      writeIfSuspect(told.contentHash());
    }
    return ContentMessages.encode(told.contentHash(), crashes(told.contentHash()));
  }

  @Override
  public String prefix() {
    return PREFIX;
  }

  @Override
  public void onChanged() {
    Set<String> before = Set.copyOf(listed);
    listed.clear();
    stored.clear();
    for (StoreItem item : view.items(PREFIX)) {
      String hash = item.key().substring(PREFIX.length());
      listed.add(hash);
      try {
        ContentCrashes crashes = ContentMessages.decode(item.value()).crashes();
        stored.put(hash, new Stored(item.revision(), crashes));
        if (!before.contains(hash)) {
          LOG.infof("content.listed hash=%s crashes=%s", hash, crashes);
        }
      } catch (IOException e) {
        LOG.warnf("content.unreadable key=%s reason=%s", item.key(), e.getMessage());
      }
    }
    // An entry that is removed was cleared by an answer, or its time is over.
    before.stream().filter(hash -> !listed.contains(hash)).forEach(heard::remove);
    // This instance may know of a crash that whoever wrote the entry did not.
    Set.copyOf(stored.keySet()).forEach(this::writeIfSuspect);
  }

  private ContentCrashes crashes(String contentHash) {
    Stored entry = stored.get(contentHash);
    ContentCrashes known = heard(contentHash);
    return entry == null ? known : known.union(entry.crashes);
  }

  private ContentCrashes heard(String contentHash) {
    return heard.get(contentHash, clock.nanoTime()).orElse(ContentCrashes.NONE);
  }

  private void learn(String contentHash, ContentCrashes crashes) {
    Verdict before = verdict(contentHash);
    ContentCrashes all = crashes(contentHash).union(crashes);
    long untilNanos = clock.nanoTime() + TimeUnit.MILLISECONDS.toNanos(VALID_MILLIS);
    heard.put(contentHash, all, untilNanos);
    if (before != Verdict.QUARANTINED && all.verdict() == Verdict.QUARANTINED) {
      LOG.warnf("content.quarantined hash=%s crashes=%s", contentHash, all);
    }
  }

  /** Tells the owner what is known about a content; nothing when it was cleared. */
  private void tellOwner(String contentHash) {
    String ownerId = Rendezvous.first(contentHash, owners.keySet()).orElse(selfId);
    if (ownerId.equals(selfId)) {
      return;
    }
    byte[] message = ContentMessages.encode(contentHash, heard(contentHash));
    Completions.onComplete(
        peers.call(owners.get(ownerId), PeerMessageKind.CRASHES, message, ASK_TIMEOUT_MILLIS),
        (reply, failure) -> onReply(contentHash, ownerId, reply, failure));
  }

  private void onReply(String contentHash, String ownerId, byte[] reply, Throwable failure) {
    boolean isStillHeld = !heard(contentHash).isEmpty();
    if (failure != null) {
      LOG.infof("content.owner_silent hash=%s owner=%s reason=%s", contentHash, ownerId, failure);
      if (isStillHeld) {
        write(contentHash, FIRST_RETRY_MILLIS);
      }
      return;
    }
    try {
      ContentCrashes known = ContentMessages.decode(reply).crashes();
      if (isStillHeld && !known.isEmpty()) {
        learn(contentHash, known);
        // The owner writes them too, unless the store is out of its reach.
        scheduler.schedule(() -> writeIfSuspect(contentHash), FIRST_RETRY_MILLIS);
      }
    } catch (IOException e) {
      LOG.warnf("content.unreadable owner=%s reason=%s", ownerId, e.getMessage());
    }
  }

  private void writeIfSuspect(String contentHash) {
    if (crashes(contentHash).processes() >= STORED_PROCESSES) {
      write(contentHash, FIRST_RETRY_MILLIS);
    }
  }

  /** Writes the crashes of a content to the store until they are there or are cleared. */
  private void write(String contentHash, long retryMillis) {
    ContentCrashes crashes = crashes(contentHash);
    Stored known = stored.get(contentHash);
    boolean isWritten = known != null && known.crashes.includes(crashes);
    if (crashes.isEmpty() || isWritten || !writing.add(contentHash)) {
      return;
    }
    CompletableFuture<Long> written =
        lease()
            .thenCompose(
                lease ->
                    store.apply(
                        StoreTransaction.put(
                                PREFIX + contentHash,
                                ContentMessages.encode(contentHash, crashes),
                                OptionalLong.of(lease))
                            .onlyIf(PREFIX + contentHash, known == null ? 0 : known.revision)));
    Completions.onComplete(
        written,
        (revision, failure) -> {
          if (failure == null) {
            writing.remove(contentHash);
            stored.put(contentHash, new Stored(revision, crashes));
            write(contentHash, FIRST_RETRY_MILLIS);
            return;
          }
          Kind reason = StoreException.kindOf(failure);
          if (reason == Kind.LEASE_EXPIRED) {
            leaseId = OptionalLong.empty();
          }
          // Another instance has written an entry, which is about to be seen here.
          long nextMillis =
              reason == Kind.CONFLICT
                  ? FIRST_RETRY_MILLIS
                  : Math.min(MAX_RETRY_MILLIS, 2 * retryMillis);
          LOG.infof(
              "content.write_failed hash=%s reason=\"%s\" retryMillis=%d",
              contentHash, failure.getMessage(), nextMillis);
          scheduler.schedule(
              () -> {
                writing.remove(contentHash);
                write(contentHash, nextMillis);
              },
              nextMillis);
        });
  }

  private void remove(String contentHash) {
    Completions.onComplete(
        store.apply(StoreTransaction.removal(PREFIX + contentHash)),
        (revision, failure) -> {
          if (failure != null) {
            // The next answer to this content clears it again.
            LOG.infof(
                "content.write_failed hash=%s reason=\"%s\" retryMillis=0",
                contentHash, failure.getMessage());
          }
        });
  }

  private CompletableFuture<Long> lease() {
    long ageNanos = clock.nanoTime() - leaseGrantedNanos;
    if (leaseId.isPresent() && TimeUnit.NANOSECONDS.toMillis(ageNanos) < LEASE_REUSE_MILLIS) {
      return CompletableFuture.completedFuture(leaseId.getAsLong());
    }
    return store
        .grantLease(VALID_MILLIS)
        .thenApply(
            granted -> {
              leaseId = OptionalLong.of(granted);
              leaseGrantedNanos = clock.nanoTime();
              return granted;
            });
  }
}
