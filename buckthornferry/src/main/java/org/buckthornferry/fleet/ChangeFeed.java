package org.buckthornferry.fleet;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.buckthornferry.store.ChangeBatch;
import org.buckthornferry.store.PrefixFollower;
import org.buckthornferry.store.StoreItem;
import org.buckthornferry.store.StorePosition;
import org.buckthornferry.util.MonotonicClock;
import org.buckthornferry.util.Scheduler;

/** Serves long polls of other instances for changes in this instance's copy of the store. */
public final class ChangeFeed {
  /** Upper limit on how long a poll may wait for a change, in milliseconds. */
  private static final long MAX_WAIT_MILLIS = 10_000;

  private final PrefixFollower follower;
  private final Scheduler scheduler;
  private final MonotonicClock clock;
  private final List<PendingPoll> pendingPolls = new ArrayList<>();

  private static final class PendingPoll {
    private final StorePosition position;
    private final CompletableFuture<byte[]> reply = new CompletableFuture<>();
    private Scheduler.Task expiry = Scheduler.Task.NONE;

    private PendingPoll(StorePosition position) {
      this.position = position;
    }
  }

  /**
   * Creates a feed.
   *
   * @param clock the view's clock, which includes time spent suspended
   */
  public ChangeFeed(StoreView view, Scheduler scheduler, MonotonicClock clock) {
    this.follower = view.follower();
    this.scheduler = scheduler;
    this.clock = clock;
    view.subscribe(
        new StoreView.Subscriber() {
          @Override
          public String prefix() {
            return StoreView.ALL_KEYS;
          }

          @Override
          public void onChanged() {
            completePolls();
          }
        });
  }

  /**
   * Answers a poll at once if the caller lacks a change, otherwise when one arrives or the wait
   * ends.
   */
  public CompletableFuture<byte[]> answer(byte[] message) throws IOException {
    ChangeMessages.Request request = ChangeMessages.decodeRequest(message);
    ChangeMessages.Reply current = reply(request.position());
    if (hasUpdate(current) || request.maxWaitMillis() <= 0) {
      return CompletableFuture.completedFuture(ChangeMessages.encodeReply(current));
    }
    // A caller that is ahead of this copy has read the store itself; this copy will soon catch up.
    PendingPoll poll = new PendingPoll(request.position());
    pendingPolls.add(poll);
    poll.expiry =
        scheduler.schedule(
            () -> {
              pendingPolls.remove(poll);
              poll.reply.complete(ChangeMessages.encodeReply(reply(poll.position)));
            },
            Math.min(request.maxWaitMillis(), MAX_WAIT_MILLIS));
    return poll.reply;
  }

  private void completePolls() {
    Iterator<PendingPoll> polls = pendingPolls.iterator();
    while (polls.hasNext()) {
      PendingPoll poll = polls.next();
      ChangeMessages.Reply reply = reply(poll.position);
      if (hasUpdate(reply)) {
        polls.remove();
        poll.expiry.cancel();
        poll.reply.complete(ChangeMessages.encodeReply(reply));
      }
    }
  }

  private static boolean hasUpdate(ChangeMessages.Reply reply) {
    return !reply.isComplete() || !reply.changes().changes().isEmpty();
  }

  private ChangeMessages.Reply reply(StorePosition position) {
    Optional<List<StoreItem>> changes = follower.changesAfter(position);
    return new ChangeMessages.Reply(
        changes.isPresent(),
        ageMillis(),
        new ChangeBatch(changes.orElse(List.of()), follower.position()));
  }

  private long ageMillis() {
    return follower.position().equals(StorePosition.NONE)
        ? Long.MAX_VALUE
        : TimeUnit.NANOSECONDS.toMillis(clock.nanoTime() - follower.asOfNanos());
  }
}
