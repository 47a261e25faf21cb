package org.buckthornferry.fleet;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.buckthornferry.store.PrefixFollower;
import org.buckthornferry.util.Completions;
import org.buckthornferry.util.Scheduler;
import org.jboss.logging.Logger;

/**
 * Lets instances that cannot reach the store adopt a newer copy from a peer. An instance polls one
 * random peer at a time, and only while its own calls to the store fail.
 */
public final class ViewExchange {
  private static final Logger LOG = Logger.getLogger(ViewExchange.class);

  /** Interval between polls while the store is unreachable, in milliseconds. */
  private static final long POLL_MILLIS = 400;

  /** Timeout of a poll, in milliseconds; the reply may hold a large configuration. */
  private static final long REPLY_TIMEOUT_MILLIS = 800;

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
  }

  /** Starts polling whenever the store is unreachable. */
  public void start() {
    scheduler.schedule(this::poll, POLL_MILLIS);
  }

  /** Stops polling. */
  public void stop() {
    stopped = true;
  }

  /** Handles a poll; replies with this instance's copy if it is newer. */
  public byte[] answer(byte[] request) throws IOException {
    return ViewMessages.encodeReply(snapshotNewerThan(ViewMessages.decodeRequest(request)));
  }

  private void poll() {
    if (stopped) {
      return;
    }
    scheduler.schedule(this::poll, POLL_MILLIS);
    List<InetSocketAddress> candidates = follower.isReachable() ? List.of() : peerAddresses.get();
    if (candidates.isEmpty()) {
      return;
    }
    InetSocketAddress peer = candidates.get(random.nextInt(candidates.size()));
    Completions.onComplete(
        peers.call(
            peer,
            PeerMessageKind.VIEW,
            ViewMessages.encodeRequest(follower.revision()),
            REPLY_TIMEOUT_MILLIS),
        (reply, failure) -> {
          if (failure != null) {
            LOG.infof("view.unreachable address=%s reason=\"%s\"", peer, failure);
            return;
          }
          try {
            ViewMessages.decodeReply(reply).ifPresent(snapshot -> adopt(snapshot, peer));
          } catch (IOException e) {
            LOG.warnf("view.unreadable address=%s reason=\"%s\"", peer, e.getMessage());
          }
        });
  }

  private Optional<ViewMessages.Snapshot> snapshotNewerThan(long revision) {
    return follower.revision() > revision
        ? Optional.of(new ViewMessages.Snapshot(follower.revision(), List.copyOf(follower.items())))
        : Optional.empty();
  }

  private void adopt(ViewMessages.Snapshot snapshot, InetSocketAddress peer) {
    if (!follower.isReachable() && follower.replaceIfNewer(snapshot.revision(), snapshot.items())) {
      LOG.infof("view.adopted revision=%d from=%s", snapshot.revision(), peer);
    }
  }
}
