package org.buckthornferry.fleet;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
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
import org.buckthornferry.store.StorePosition;
import org.buckthornferry.store.StoreTransaction;
import org.buckthornferry.util.Completions;
import org.buckthornferry.util.ExpiringTable;
import org.buckthornferry.util.MonotonicClock;
import org.buckthornferry.util.Rendezvous;
import org.buckthornferry.util.Scheduler;
import org.jboss.logging.Logger;

/**
 * Quarantines contents that crash endpoints, counted over all attempts of callers and all
 * instances. A content is quarantined after three processes have crashed while serving it, in more
 * than one incident. A complete answer clears it, because a content that crashes every endpoint is
 * never answered.
 *
 * <p>Most contents that an endpoint was serving when it crashed are harmless and cause no second
 * crash. A first crash is therefore reported only to the content's owner, an instance chosen by
 * rendezvous hashing. An instance that knows of two crashes writes them to the store, which every
 * instance watches and which outlives all of them.
 */
public final class ContentQuarantine implements StoreView.Subscriber {
  private static final Logger LOG = Logger.getLogger(ContentQuarantine.class);

  static final String PREFIX = "buckthornferry/crashes/";

  /** Number of crashed processes from which a content is written to the store. */
  private static final int MIN_STORED_PROCESSES = 2;

  /** How long crashes are kept, in milliseconds; the longest time to live of a lease. */
  static final long RETENTION_MILLIS = 600_000;

  /** Maximum number of contents kept; about 200 bytes each. */
  private static final int MAX_CONTENTS = 2_000;

  /** Timeout of a crash report to the owner, in milliseconds. */
  private static final long REPORT_TIMEOUT_MILLIS = 300;

  /** Initial delay before a store write is retried, in milliseconds; doubles on each failure. */
  private static final long FIRST_RETRY_MILLIS = 250;

  /**
   * Maximum delay between store writes, in milliseconds; well below the time after a store outage
   * from which the operating bounds hold again.
   */
  private static final long MAX_RETRY_MILLIS = 1_000;

  private final StoreView view;
  private final Blackboard blackboard;
  private final PeerCaller peers;
  private final String selfId;
  private final Scheduler scheduler;
  private final MonotonicClock clock;
  private final LongSupplier epochMillis;
  private final RetentionLease lease;
  private final ExpiringTable<ContentCrashes> recentCrashes = new ExpiringTable<>(MAX_CONTENTS);
  private final Map<String, StoredEntry> storedEntries = new HashMap<>();
  private final Set<String> listedHashes = new HashSet<>();
  private final Set<String> pendingWrites = new HashSet<>();
  private Map<String, InetSocketAddress> ownerCandidates = Map.of();

  private record StoredEntry(long revision, ContentCrashes crashes) {}

  /** Creates a quarantine without known crashes. */
  public ContentQuarantine(
      SharedStore store,
      StoreView view,
      Blackboard blackboard,
      PeerCaller peers,
      String selfId,
      Scheduler scheduler,
      MonotonicClock clock,
      LongSupplier epochMillis) {
    this.view = view;
    this.blackboard = blackboard;
    this.peers = peers;
    this.selfId = selfId;
    this.scheduler = scheduler;
    this.clock = clock;
    this.epochMillis = epochMillis;
    this.lease = new RetentionLease(store, view, clock, RETENTION_MILLIS);
    view.subscribe(this);
    view.subscribe(new RestoredEntries(view, PREFIX, lease, blackboard, selfId, scheduler));
  }

  /** Returns whether no crash of any content is known, so that lookups can be skipped. */
  public boolean isEmpty() {
    return storedEntries.isEmpty() && recentCrashes.isEmptyAt(clock.nanoTime());
  }

  /** Returns the verdict on a content. */
  public Verdict verdict(String contentHash) {
    return crashes(contentHash).verdict();
  }

  /** Returns the longest time for which a quarantined content is still refused, in milliseconds. */
  public long remainingMillis(String contentHash) {
    long recentMillis =
        TimeUnit.NANOSECONDS.toMillis(recentCrashes.remainingNanos(contentHash, clock.nanoTime()));
    return recentMillis > 0 ? recentMillis : RETENTION_MILLIS;
  }

  /**
   * Records that an endpoint crashed or dropped its connection while serving this content.
   *
   * @param sinceSentMillis time since the request was sent to the endpoint
   */
  public void onCrash(String contentHash, Endpoint endpoint, long sinceSentMillis) {
    long nowEpochMillis = epochMillis.getAsLong();
    recordCrashes(
        contentHash,
        ContentCrashes.of(
            endpoint.id() + "@" + endpoint.startedEpochMillis(),
            new ContentCrashes.Crash(nowEpochMillis - sinceSentMillis, nowEpochMillis)));
    LOG.infof(
        "content.crash hash=%s endpoint=%s crashes=%s verdict=%s",
        contentHash, endpoint.id(), crashes(contentHash), verdict(contentHash));
    if (crashes(contentHash).processCount() < MIN_STORED_PROCESSES) {
      reportToOwner(contentHash);
    }
    writeIfSuspect(contentHash);
  }

  /** Clears a content after a request for it was answered in full. */
  public void onServed(String contentHash) {
    ContentCrashes crashes = crashes(contentHash);
    if (crashes.isEmpty()) {
      return;
    }
    LOG.infof("content.cleared hash=%s crashes=%s", contentHash, crashes);
    recentCrashes.remove(contentHash);
    if (storedEntries.remove(contentHash) != null) {
      removeEntry(contentHash);
    }
    reportToOwner(contentHash);
  }

  /**
   * Adopts the current list of instances and reports crashes of reassigned contents to their new
   * owners.
   */
  public void refresh() {
    Map<String, InetSocketAddress> listed = blackboard.read(FleetView.ENTRY).listed();
    if (listed.keySet().equals(ownerCandidates.keySet())) {
      ownerCandidates = listed;
      return;
    }
    Map<String, InetSocketAddress> before = ownerCandidates;
    ownerCandidates = listed;
    recentCrashes.forEach(
        clock.nanoTime(),
        (hash, crashes) -> {
          boolean isReassigned =
              !Rendezvous.first(hash, before.keySet())
                  .equals(Rendezvous.first(hash, ownerCandidates.keySet()));
          if (isReassigned && crashes.processCount() < MIN_STORED_PROCESSES) {
            reportToOwner(hash);
          }
        });
  }

  /** Handles a crash report of an instance that considers this one the owner of the content. */
  public byte[] answer(byte[] message) throws IOException {
    ContentMessages.CrashReport report = ContentMessages.decode(message);
    if (report.crashes().isEmpty()) {
      recentCrashes.remove(report.contentHash());
    } else {
      recordCrashes(report.contentHash(), report.crashes());
      writeIfSuspect(report.contentHash());
    }
    return ContentMessages.encode(report.contentHash(), crashes(report.contentHash()));
  }

  @Override
  public String prefix() {
    return PREFIX;
  }

  @Override
  public void onChanged() {
    Set<String> before = Set.copyOf(listedHashes);
    listedHashes.clear();
    storedEntries.clear();
    for (StoreItem item : view.items(PREFIX)) {
      String hash = item.key().substring(PREFIX.length());
      listedHashes.add(hash);
      try {
        ContentCrashes crashes = ContentMessages.decode(item.value()).crashes();
        storedEntries.put(hash, new StoredEntry(item.revision(), crashes));
        if (!before.contains(hash)) {
          LOG.infof("content.listed hash=%s crashes=%s", hash, crashes);
        }
      } catch (IOException e) {
        LOG.warnf("content.unreadable key=%s reason=%s", item.key(), e.getMessage());
      }
    }
    // A removed entry was cleared by an answer or has expired.
    before.stream().filter(hash -> !listedHashes.contains(hash)).forEach(recentCrashes::remove);
    // This instance may know of a crash that the writer of the entry did not.
    Set.copyOf(storedEntries.keySet()).forEach(this::writeIfSuspect);
  }

  private ContentCrashes crashes(String contentHash) {
    StoredEntry entry = storedEntries.get(contentHash);
    ContentCrashes known = recentCrashes(contentHash);
    return entry == null ? known : known.union(entry.crashes);
  }

  private ContentCrashes recentCrashes(String contentHash) {
    return recentCrashes.get(contentHash, clock.nanoTime()).orElse(ContentCrashes.NONE);
  }

  private void recordCrashes(String contentHash, ContentCrashes crashes) {
    Verdict before = verdict(contentHash);
    ContentCrashes all = crashes(contentHash).union(crashes);
    long untilNanos = clock.nanoTime() + TimeUnit.MILLISECONDS.toNanos(RETENTION_MILLIS);
    recentCrashes.put(contentHash, all, untilNanos);
    if (before != Verdict.QUARANTINED && all.verdict() == Verdict.QUARANTINED) {
      LOG.warnf("content.quarantined hash=%s crashes=%s", contentHash, all);
    }
  }

  /** Reports the known crashes of a content to its owner; an empty report clears the content. */
  private void reportToOwner(String contentHash) {
    String ownerId = Rendezvous.first(contentHash, ownerCandidates.keySet()).orElse(selfId);
    if (ownerId.equals(selfId)) {
      return;
    }
    byte[] message = ContentMessages.encode(contentHash, recentCrashes(contentHash));
    Completions.onComplete(
        peers.call(
            ownerCandidates.get(ownerId), PeerMessageKind.CRASHES, message, REPORT_TIMEOUT_MILLIS),
        (reply, failure) -> onReply(contentHash, ownerId, reply, failure));
  }

  private void onReply(String contentHash, String ownerId, byte[] reply, Throwable failure) {
    boolean hasCrashes = !recentCrashes(contentHash).isEmpty();
    if (failure != null) {
      LOG.infof("content.owner_silent hash=%s owner=%s reason=%s", contentHash, ownerId, failure);
      if (hasCrashes) {
        write(contentHash, FIRST_RETRY_MILLIS);
      }
      return;
    }
    try {
      ContentCrashes known = ContentMessages.decode(reply).crashes();
      if (hasCrashes && !known.isEmpty()) {
        recordCrashes(contentHash, known);
        // The owner writes the crashes too, unless it cannot reach the store.
        scheduler.schedule(() -> writeIfSuspect(contentHash), FIRST_RETRY_MILLIS);
      }
    } catch (IOException e) {
      LOG.warnf("content.unreadable owner=%s reason=%s", ownerId, e.getMessage());
    }
  }

  private void writeIfSuspect(String contentHash) {
    if (crashes(contentHash).processCount() >= MIN_STORED_PROCESSES) {
      write(contentHash, FIRST_RETRY_MILLIS);
    }
  }

  /**
   * Writes the crashes of a content to the store, with retries until they are stored or cleared.
   */
  private void write(String contentHash, long retryMillis) {
    ContentCrashes crashes = crashes(contentHash);
    StoredEntry known = storedEntries.get(contentHash);
    boolean isWritten = known != null && known.crashes.includes(crashes);
    if (crashes.isEmpty() || isWritten || !pendingWrites.add(contentHash)) {
      return;
    }
    CompletableFuture<StorePosition> written =
        lease.write(
            leaseId ->
                StoreTransaction.put(
                        PREFIX + contentHash, ContentMessages.encode(contentHash, crashes), leaseId)
                    .onlyIf(PREFIX + contentHash, known == null ? 0 : known.revision));
    Completions.onComplete(
        written,
        (position, failure) -> {
          if (failure == null) {
            pendingWrites.remove(contentHash);
            storedEntries.put(contentHash, new StoredEntry(position.revision(), crashes));
            write(contentHash, FIRST_RETRY_MILLIS);
            return;
          }
          Kind reason = StoreException.kindOf(failure);
          // After a conflict, the watch will deliver the entry that another instance wrote.
          long nextMillis =
              reason == Kind.CONFLICT
                  ? FIRST_RETRY_MILLIS
                  : Math.min(MAX_RETRY_MILLIS, 2 * retryMillis);
          LOG.infof(
              "content.write_failed hash=%s reason=\"%s\" retryMillis=%d",
              contentHash, failure.getMessage(), nextMillis);
          scheduler.schedule(
              () -> {
                pendingWrites.remove(contentHash);
                write(contentHash, nextMillis);
              },
              nextMillis);
        });
  }

  private void removeEntry(String contentHash) {
    Completions.onComplete(
        view.write(StoreTransaction.removal(PREFIX + contentHash)),
        (position, failure) -> {
          if (failure != null) {
            // No retry is needed: the next answer to this content clears it again.
            LOG.infof(
                "content.write_failed hash=%s reason=\"%s\" retryMillis=0",
                contentHash, failure.getMessage());
          }
        });
  }
}
