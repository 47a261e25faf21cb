package org.buckthornferry.fleet;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.buckthornferry.store.PrefixFollower;
import org.buckthornferry.store.StoreItem;
import org.buckthornferry.store.StorePosition;
import org.buckthornferry.util.Completions;
import org.buckthornferry.util.Scheduler;
import org.jboss.logging.Logger;

/**
 * Lets instances that cannot reach the store adopt a newer copy from a peer, and new instances
 * learn what a restored store has lost. An instance polls one random peer at a time, while its own
 * calls to the store fail and once after its start.
 */
public final class ViewExchange {
  private static final Logger LOG = Logger.getLogger(ViewExchange.class);

  /** Interval between polls while the store is unreachable, in milliseconds. */
  private static final long POLL_MILLIS = 400;

  /** Timeout of a poll, in milliseconds; the reply may hold a large configuration. */
  private static final long REPLY_TIMEOUT_MILLIS = 800;

  /** Delay between the first listing and the question to a peer, in milliseconds. */
  private static final long FIRST_LISTING_DELAY_MILLIS = 5;

  private static final int FIRST_LISTING_REPEATS = 2;

  private final PeerCaller peers;
  private final PrefixFollower follower;
  private final Supplier<List<InetSocketAddress>> peerAddresses;
  private final Scheduler scheduler;
  private final RandomGenerator random;
  private boolean stopped;

  /**
   * Creates an exchange that does not poll until started.
   *
   * @param peerAddresses supplies the peer addresses of the other instances
   */
  public ViewExchange(
      PeerCaller peers,
      StoreView view,
      Supplier<List<InetSocketAddress>> peerAddresses,
      Scheduler scheduler,
      RandomGenerator random) {
    this.peers = peers;
    this.follower = view.follower();
    this.peerAddresses = peerAddresses;
    this.scheduler = scheduler;
    this.random = random;
    view.subscribe(new FirstListing());
  }

  /** Starts polling whenever the store is unreachable. */
  public void start() {
    scheduler.schedule(this::poll, POLL_MILLIS);
  }

  /** Stops polling. */
  public void stop() {
    stopped = true;
  }

  /** Handles a poll; replies with what this instance's copy has beyond the requester's. */
  public byte[] answer(byte[] request) throws IOException {
    StorePosition known = ViewMessages.decodeRequest(request);
    StorePosition position = follower.position();
    List<StoreItem> kept = follower.keptItems();
    if (position.isAfter(known)) {
      return ViewMessages.encodeReply(
          Optional.of(
              new ViewMessages.Snapshot(
                  position, true, List.copyOf(follower.storedItems()), kept)));
    }
    boolean isTelling = position.era() == known.era() && !kept.isEmpty();
    return ViewMessages.encodeReply(
        isTelling
            ? Optional.of(new ViewMessages.Snapshot(position, false, List.of(), kept))
            : Optional.empty());
  }

  private void poll() {
    if (stopped) {
      return;
    }
    scheduler.schedule(this::poll, POLL_MILLIS);
    if (!follower.isReachable()) {
      ask(0);
    }
  }

  /** Asks a random peer, and another one after a failure while repeats remain. */
  private void ask(int repeats) {
    List<InetSocketAddress> candidates = peerAddresses.get();
    if (stopped || candidates.isEmpty()) {
      return;
    }
    InetSocketAddress peer = candidates.get(random.nextInt(candidates.size()));
    Completions.onComplete(
        peers.call(
            peer,
            PeerMessageKind.VIEW,
            ViewMessages.encodeRequest(follower.position()),
            REPLY_TIMEOUT_MILLIS),
        (reply, failure) -> {
          if (failure != null) {
            LOG.infof("view.unreachable address=%s reason=\"%s\"", peer, failure);
            if (repeats > 0) {
              ask(repeats - 1);
            }
            return;
          }
          try {
            ViewMessages.decodeReply(reply).ifPresent(snapshot -> adopt(snapshot, peer));
          } catch (IOException e) {
            LOG.warnf("view.unreadable address=%s reason=\"%s\"", peer, e.getMessage());
          }
        });
  }

  private void adopt(ViewMessages.Snapshot snapshot, InetSocketAddress peer) {
    boolean isAdopted =
        snapshot.isWhole()
            && !follower.isReachable()
            && follower.replaceIfNewer(snapshot.position(), snapshot.items());
    if (isAdopted) {
      LOG.infof("view.adopted position=%s from=%s", snapshot.position(), peer);
    }
    follower.adoptKept(snapshot.position().era(), snapshot.kept());
  }

  /** Asks a peer once the first listing is complete: the store may have been restored lately. */
  private final class FirstListing implements StoreView.Subscriber {
    @Override
    public String prefix() {
      return StoreView.ALL_KEYS;
    }

    @Override
    public void onChanged() {}

    @Override
    public void onStoreRecovered(long outageMillis) {
      if (outageMillis == 0) {
        scheduler.schedule(() -> ask(FIRST_LISTING_REPEATS), FIRST_LISTING_DELAY_MILLIS);
      }
    }
  }
}
