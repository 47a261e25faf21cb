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
 * Gives instances that the store turns away the copy of another one. An instance asks one other at
 * a time, and only while its own calls fail.
 */
public final class ViewExchange {
  private static final Logger LOG = Logger.getLogger(ViewExchange.class);

  /** How often an instance asks while the store turns it away, in milliseconds. */
  private static final long ASK_MILLIS = 400;

  /** How long a reply may take, in milliseconds; it may hold a large configuration. */
  private static final long TIMEOUT_MILLIS = 800;

  private final PeerCaller peers;
  private final PrefixFollower follower;
  private final Supplier<List<InetSocketAddress>> others;
  private final Scheduler scheduler;
  private final RandomGenerator random;
  private boolean stopped;

  /**
   * Creates an exchange that does not ask yet.
   *
   * @param others where other instances listen
   */
  public ViewExchange(
      PeerCaller peers,
      StoreView view,
      Supplier<List<InetSocketAddress>> others,
      Scheduler scheduler,
      RandomGenerator random) {
    this.peers = peers;
    this.follower = view.follower();
    this.others = others;
    this.scheduler = scheduler;
    this.random = random;
  }

  /** Starts to ask while the store is unreachable. */
  public void start() {
    scheduler.schedule(this::ask, ASK_MILLIS);
  }

  /** Stops to ask. */
  public void stop() {
    stopped = true;
  }

  /** Answers another instance that asks for copies. */
  public byte[] answer(byte[] request) throws IOException {
    return ViewMessages.encodeReply(newerThan(ViewMessages.decodeRequest(request)));
  }

  private void ask() {
    if (stopped) {
      return;
    }
    scheduler.schedule(this::ask, ASK_MILLIS);
    List<InetSocketAddress> candidates = follower.isReachable() ? List.of() : others.get();
    if (candidates.isEmpty()) {
      return;
    }
    InetSocketAddress other = candidates.get(random.nextInt(candidates.size()));
    Completions.onComplete(
        peers.call(
            other,
            PeerMessageKind.VIEW,
            ViewMessages.encodeRequest(follower.revision()),
            TIMEOUT_MILLIS),
        (reply, failure) -> {
          if (failure != null) {
            LOG.infof("view.unreachable address=%s reason=\"%s\"", other, failure);
            return;
          }
          try {
            ViewMessages.decodeReply(reply).ifPresent(copy -> adopt(copy, other));
          } catch (IOException e) {
            LOG.warnf("view.unreadable address=%s reason=\"%s\"", other, e.getMessage());
          }
        });
  }

  private Optional<ViewMessages.Copy> newerThan(long revision) {
    return follower.revision() > revision
        ? Optional.of(new ViewMessages.Copy(follower.revision(), List.copyOf(follower.items())))
        : Optional.empty();
  }

  private void adopt(ViewMessages.Copy copy, InetSocketAddress from) {
    if (!follower.isReachable() && follower.replaceIfNewer(copy.revision(), copy.items())) {
      LOG.infof("view.adopted revision=%d from=%s", copy.revision(), from);
    }
  }
}
