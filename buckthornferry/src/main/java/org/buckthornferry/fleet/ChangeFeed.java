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
import org.buckthornferry.util.MonotonicClock;
import org.buckthornferry.util.Scheduler;

/** Passes changes of this instance's copy of the store on to instances that ask for them. */
public final class ChangeFeed {
  /** The longest that a reply is held, whatever the other asks for, in milliseconds. */
  private static final long MAX_HOLD_MILLIS = 10_000;

  private final PrefixFollower follower;
  private final Scheduler scheduler;
  private final MonotonicClock clock;
  private final List<Held> held = new ArrayList<>();

  private static final class Held {
    private final long revision;
    private final CompletableFuture<byte[]> reply = new CompletableFuture<>();
    private Scheduler.Task expiry = Scheduler.Task.NONE;

    private Held(long revision) {
      this.revision = revision;
    }
  }

  /**
   * Creates a feed.
   *
   * @param clock counts suspensions; the one by which the view is kept
   */
  public ChangeFeed(StoreView view, Scheduler scheduler, MonotonicClock clock) {
    this.follower = view.follower();
    this.scheduler = scheduler;
    this.clock = clock;
    view.add(
        new StoreView.Section() {
          @Override
          public String prefix() {
            return StoreView.EVERYTHING;
          }

          @Override
          public void onChanged() {
            release();
          }
        });
  }

  /** Replies to an instance at once when it lacks a change, else when there is one. */
  public CompletableFuture<byte[]> answer(byte[] message) throws IOException {
    ChangeMessages.Ask ask = ChangeMessages.decodeAsk(message);
    ChangeMessages.Reply now = reply(ask.revision());
    if (hasNews(now) || ask.holdMillis() <= 0) {
      return CompletableFuture.completedFuture(ChangeMessages.encodeReply(now));
    }
    // A caller that is ahead of this copy has asked the store lately; this copy is about to follow.
    Held call = new Held(ask.revision());
    held.add(call);
    call.expiry =
        scheduler.schedule(
            () -> {
              held.remove(call);
              call.reply.complete(ChangeMessages.encodeReply(reply(call.revision)));
            },
            Math.min(ask.holdMillis(), MAX_HOLD_MILLIS));
    return call.reply;
  }

  private void release() {
    Iterator<Held> calls = held.iterator();
    while (calls.hasNext()) {
      Held call = calls.next();
      ChangeMessages.Reply reply = reply(call.revision);
      if (hasNews(reply)) {
        calls.remove();
        call.expiry.cancel();
        call.reply.complete(ChangeMessages.encodeReply(reply));
      }
    }
  }

  private static boolean hasNews(ChangeMessages.Reply reply) {
    return !reply.isComplete() || !reply.changes().changes().isEmpty();
  }

  private ChangeMessages.Reply reply(long revision) {
    Optional<List<StoreItem>> changes = follower.changesAfter(revision);
    return new ChangeMessages.Reply(
        changes.isPresent(),
        ageMillis(),
        new ChangeBatch(changes.orElse(List.of()), follower.revision()));
  }

  private long ageMillis() {
    return follower.revision() == 0
        ? Long.MAX_VALUE
        : TimeUnit.NANOSECONDS.toMillis(clock.nanoTime() - follower.asOfNanos());
  }
}
