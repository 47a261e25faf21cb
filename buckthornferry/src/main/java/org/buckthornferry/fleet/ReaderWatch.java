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
import org.buckthornferry.util.Completions;
import org.buckthornferry.util.MonotonicClock;
import org.jboss.logging.Logger;

/**
 * Changes in the store, heard from the instance that reads it for the failure domain, or from the
 * store itself when there is none, it is silent or its copy may be behind.
 */
public final class ReaderWatch implements ChangeSource {
  private static final Logger LOG = Logger.getLogger(ReaderWatch.class);

  /**
   * The part of the contact time that a call to the store waits when nobody hears of changes from
   * this instance. A connection that has gone silent is noticed after one call, which leaves the
   * rest for a new connection.
   */
  private static final double WATCH_SHARE = 0.6;

  private final Blackboard blackboard;
  private final PeerCaller peers;
  private final MonotonicClock clock;
  private final ReaderChoice choice;
  private final ChangeSource store;

  /** Creates a source for an instance. */
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
    this.choice = new ReaderChoice(selfId, ownDomain);
    LongSupplier waitMillis = this::storeWaitMillis;
    this.store = new StoreChangeSource(store, StoreView.EVERYTHING, waitMillis, clock);
  }

  @Override
  public CompletableFuture<ObservedChanges> changesAfter(long revision) {
    FleetView fleet = blackboard.read(FleetView.ENTRY);
    choice.retain(fleet);
    Optional<String> reader = choice.reader(fleet, clock.nanoTime());
    if (reader.isEmpty()) {
      return store.changesAfter(revision);
    }
    return Completions.thenOnOutcome(
        ask(fleet.listed().get(reader.get()), revision),
        (observed, failure) -> {
          if (failure == null) {
            choice.onAnswered(reader.get());
            return CompletableFuture.completedFuture(observed);
          }
          LOG.infof(
              "store.reader_passed_over reader=%s revision=%d reason=\"%s\"",
              reader.get(), revision, failure.getMessage());
          choice.onFailed(reader.get(), clock.nanoTime());
          return store.changesAfter(revision);
        });
  }

  private CompletableFuture<ObservedChanges> ask(InetSocketAddress reader, long revision) {
    ReadingTimes times = ReadingTimes.of(blackboard.read(OperatingBounds.ENTRY));
    long sentNanos = clock.nanoTime();
    byte[] message = ChangeMessages.encodeAsk(new ChangeMessages.Ask(revision, times.holdMillis()));
    return peers
        .call(reader, PeerMessageKind.CHANGES, message, times.replyMillis())
        .thenCompose(
            reply -> {
              try {
                return CompletableFuture.completedFuture(
                    observed(ChangeMessages.decodeReply(reply), revision, times, sentNanos));
              } catch (IOException e) {
                return CompletableFuture.failedFuture(e);
              }
            });
  }

  private static ObservedChanges observed(
      ChangeMessages.Reply reply, long revision, ReadingTimes times, long sentNanos)
      throws IOException {
    if (!reply.isComplete()) {
      throw new IOException("the reader does not know all changes since then");
    }
    if (reply.changes().revision() < revision) {
      throw new IOException("the reader is at revision " + reply.changes().revision());
    }
    if (reply.ageMillis() > times.maxAgeMillis()) {
      throw new IOException("the reader's copy is " + reply.ageMillis() + " ms old");
    }
    // The reply was sent after the call; it may have been on its way for long.
    return new ObservedChanges(
        reply.changes(), sentNanos - TimeUnit.MILLISECONDS.toNanos(reply.ageMillis()));
  }

  private long storeWaitMillis() {
    OperatingBounds bounds = blackboard.read(OperatingBounds.ENTRY);
    return choice.isShared(blackboard.read(FleetView.ENTRY))
        ? ReadingTimes.of(bounds).holdMillis()
        : (long) (WATCH_SHARE * bounds.contactMillis());
  }
}
