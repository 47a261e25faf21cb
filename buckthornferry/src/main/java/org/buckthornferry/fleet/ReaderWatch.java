package org.buckthornferry.fleet;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.buckthornferry.control.Blackboard;
import org.buckthornferry.store.ChangeSource;
import org.buckthornferry.store.SharedStore;
import org.buckthornferry.store.StoreChangeSource;
import org.buckthornferry.store.StoreException;
import org.buckthornferry.store.StoreException.Kind;
import org.buckthornferry.store.StorePosition;
import org.buckthornferry.util.Completions;
import org.buckthornferry.util.MonotonicClock;
import org.jboss.logging.Logger;

/**
 * Watches the store through the reader of the failure domain. Falls back to the store itself if
 * there is no reader, or if it does not reply or its copy may be stale.
 */
public final class ReaderWatch implements ChangeSource {
  private static final Logger LOG = Logger.getLogger(ReaderWatch.class);

  /**
   * Fraction of the contact time for which a store watch waits in failure domains without a shared
   * reader. A dead connection is noticed after one watch, which leaves the rest for reconnecting.
   */
  private static final double STORE_WAIT_SHARE = 0.6;

  private final Blackboard blackboard;
  private final PeerCaller peers;
  private final MonotonicClock clock;
  private final ReaderSelector selector;
  private final ChangeSource storeWatch;

  /** Creates the change source of an instance. */
  public ReaderWatch(
      SharedStore store,
      Blackboard blackboard,
      PeerCaller peers,
      String selfId,
      String ownDomain,
      MonotonicClock clock) {
    this.blackboard = blackboard;
    this.peers = peers;
    this.clock = clock;
    this.selector = new ReaderSelector(selfId, ownDomain);
    LongSupplier waitMillis = this::storeWaitMillis;
    this.storeWatch = new StoreChangeSource(store, StoreView.ALL_KEYS, waitMillis, clock);
  }

  @Override
  public CompletableFuture<ObservedChanges> changesAfter(
      StorePosition position, long maxWaitMillis) {
    FleetView fleet = blackboard.read(FleetView.ENTRY);
    selector.retainRegistered(fleet);
    Optional<String> reader = selector.selectReader(fleet, clock.nanoTime());
    if (reader.isEmpty()) {
      return storeWatch.changesAfter(position, maxWaitMillis);
    }
    return Completions.thenOnOutcome(
        poll(fleet.listed().get(reader.get()), position, maxWaitMillis),
        (observed, failure) -> {
          if (failure == null) {
            selector.onAnswered(reader.get());
            return CompletableFuture.completedFuture(observed);
          }
          if (StoreException.kindOf(failure) == Kind.HISTORY_LOST) {
            selector.onAnswered(reader.get());
            return CompletableFuture.failedFuture(failure);
          }
          LOG.infof(
              "store.reader_passed_over reader=%s position=%s reason=\"%s\"",
              reader.get(), position, failure.getMessage());
          selector.onFailed(reader.get(), clock.nanoTime());
          return storeWatch.changesAfter(position, maxWaitMillis);
        });
  }

  private CompletableFuture<ObservedChanges> poll(
      InetSocketAddress reader, StorePosition position, long maxWaitMillis) {
    ReaderTimeouts timeouts = ReaderTimeouts.of(blackboard.read(OperatingBounds.ENTRY));
    long sentNanos = clock.nanoTime();
    byte[] message =
        ChangeMessages.encodeRequest(
            new ChangeMessages.Request(
                position, Math.min(timeouts.pollWaitMillis(), maxWaitMillis)));
    return peers
        .call(reader, PeerMessageKind.CHANGES, message, timeouts.replyTimeoutMillis())
        .thenCompose(
            reply -> {
              try {
                return CompletableFuture.completedFuture(
                    observed(ChangeMessages.decodeReply(reply), position, timeouts, sentNanos));
              } catch (IOException | StoreException e) {
                return CompletableFuture.failedFuture(e);
              }
            });
  }

  private static ObservedChanges observed(
      ChangeMessages.Reply reply, StorePosition position, ReaderTimeouts timeouts, long sentNanos)
      throws IOException {
    StorePosition readerPosition = reply.changes().position();
    if (readerPosition.era() > position.era()) {
      throw new StoreException(
          Kind.HISTORY_LOST, "the reader knows of a restored store in era " + readerPosition.era());
    }
    if (!reply.isComplete()) {
      throw new IOException("the reader no longer knows all changes after this position");
    }
    if (position.isAfter(readerPosition)) {
      throw new IOException("the reader is behind at " + readerPosition);
    }
    if (reply.ageMillis() > timeouts.maxAgeMillis()) {
      throw new IOException("the reader's copy is " + reply.ageMillis() + " ms old");
    }
    // Age counts from the time of the call, because the reply may have been delayed in transit.
    return new ObservedChanges(
        reply.changes(), sentNanos - TimeUnit.MILLISECONDS.toNanos(reply.ageMillis()));
  }

  private long storeWaitMillis() {
    OperatingBounds bounds = blackboard.read(OperatingBounds.ENTRY);
    return selector.hasSharedReader(blackboard.read(FleetView.ENTRY))
        ? ReaderTimeouts.of(bounds).pollWaitMillis()
        : (long) (STORE_WAIT_SHARE * bounds.contactMillis());
  }
}
