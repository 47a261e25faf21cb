package org.buckthornferry.request;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import net.jqwik.api.Example;
import org.buckthornferry.peer.ClaimFields;
import org.buckthornferry.peer.ClaimReply;
import org.buckthornferry.peer.ClaimRequest;
import org.buckthornferry.request.ClaimWorld.Node;

/** Checks decided behaviour of claims one by one, in virtual time without random faults. */
class ClaimControllerTest {
  private static final long MILLI = ClaimWorld.MILLI;
  private static final ContentHash CONTENT = new ContentHash(1, 2);
  private static final RequestIdentity BOOKING = new RequestIdentity("c", "booking");

  private final ClaimWorld world = new ClaimWorld(7, 3, 1, false);

  ClaimControllerTest() {
    run(400);
  }

  private void run(long millis) {
    world.time.runUntil(world.time.nowNanos() + millis * MILLI);
  }

  private Node owner() {
    return world.processes.stream().filter(node -> node.controller.serves(0)).findFirst().get();
  }

  private Node other() {
    return world.processes.stream().filter(node -> !node.controller.serves(0)).findFirst().get();
  }

  private static CompletableFuture<ClaimOutcome> claim(
      Node node, RequestIdentity id, boolean idem) {
    return node.controller.claim(id, CONTENT, idem, node.now());
  }

  private ClaimOutcome claimNow(Node node, RequestIdentity identity, boolean idempotent) {
    CompletableFuture<ClaimOutcome> outcome = claim(node, identity, idempotent);
    run(3_000);
    return outcome.join();
  }

  private static StoredResponse response(int bytes) {
    return new StoredResponse(201, "text/plain", new byte[bytes]);
  }

  /** Guards against a claim that waits for the commit interval although nothing was written. */
  @Example
  void claimAfterQuietPeriodCommitsAtOnce() {
    CompletableFuture<ClaimOutcome> outcome = claim(owner(), BOOKING, false);
    run(20);
    assertThat(outcome.join()).isInstanceOf(ClaimOutcome.Granted.class);
  }

  /** Guards against a dispatch whose claim would be lost with its owner during a store outage. */
  @Example
  void storeOutageRefusesBookingsAsNotRunWithinTheJournalWait() {
    world.storeFaults.outage = true;
    CompletableFuture<ClaimOutcome> refused = claim(other(), BOOKING, false);
    CompletableFuture<ClaimOutcome> report =
        claim(other(), new RequestIdentity("c", "report"), true);
    run(ClaimWorld.SETTINGS.journalWaitMillis() + 100);
    assertThat(refused.join()).isInstanceOf(ClaimOutcome.Unavailable.class);
    assertThat(report.join()).isInstanceOf(ClaimOutcome.Granted.class);
    world.storeFaults.outage = false;
    run(1_000);
    assertThat(claimNow(other(), BOOKING, false)).isInstanceOf(ClaimOutcome.Granted.class);
  }

  /**
   * Guards against an untrue "not run" of a client that reached no owner: with a caller's key an
   * earlier attempt may have run, with a generated key this is the first. After the release the
   * caller's repeat is a new request.
   */
  @Example
  void clientThatGivesUpReleasesItsToken() {
    Node entry = other();
    world.lossRate = 1;
    CompletableFuture<ClaimOutcome> byCaller = claim(entry, BOOKING, false);
    RequestIdentity generated = RequestIdentity.generated("c", new SplittableRandom(1));
    CompletableFuture<ClaimOutcome> byEntry = claim(entry, generated, false);
    run(2_000);
    assertThat(byCaller.join()).isEqualTo(new ClaimOutcome.Unknown(100));
    assertThat(byEntry.join()).isEqualTo(new ClaimOutcome.Unavailable(100));
    world.lossRate = 0;
    run(4_000);
    assertThat(claimNow(owner(), BOOKING, false)).isInstanceOf(ClaimOutcome.Granted.class);
  }

  /** Guards against a second run after a failed dispatch. */
  @Example
  void failedDispatchResetsOnlyIdempotentClaims() {
    RequestIdentity report = new RequestIdentity("c", "report");
    claimNow(other(), BOOKING, false);
    claimNow(other(), report, true);
    for (RequestIdentity identity : List.of(BOOKING, report)) {
      other().controller.dispatched(identity, "e", other().now());
      other().controller.failed(identity, other().now());
    }
    run(100);
    assertThat(claimNow(owner(), BOOKING, false)).isEqualTo(new ClaimOutcome.Unknown(0));
    assertThat(claimNow(owner(), report, true)).isInstanceOf(ClaimOutcome.Granted.class);
  }

  /**
   * Guards against a claim that a late copy of an ended token's request holds for the whole window,
   * because the reply with the grant was lost.
   */
  @Example
  void lateCopyOfAnEndedRequestDoesNotHoldTheClaim() {
    for (Node node : List.of(other(), owner())) {
      claimNow(node, BOOKING, false);
      node.controller.released(BOOKING, node.now());
      run(200);
    }
    world.lossRate = 1;
    Node late = other();
    ClaimFields request =
        ClaimFieldsConverter.fields(
            BOOKING, CONTENT, false, new ClaimToken(late.id, late.incarnation, 1));
    owner().controller.onMessage(late.id, new ClaimRequest(request), owner().now());
    run(500);
    world.lossRate = 0;
    assertThat(claimNow(owner(), BOOKING, false)).isInstanceOf(ClaimOutcome.Running.class);
    run(2_000);
    assertThat(claimNow(owner(), BOOKING, false)).isInstanceOf(ClaimOutcome.Granted.class);
  }

  /** Guards against two dispatches by one process whose owner has forgotten the first grant. */
  @Example
  void overlappingAttemptsOfOneProcessDispatchOnce() {
    Node entry = other();
    world.lossRate = 1;
    CompletableFuture<ClaimOutcome> first = claim(entry, BOOKING, true);
    CompletableFuture<ClaimOutcome> second = claim(entry, BOOKING, true);
    for (long number = 1; number <= 2; number++) {
      ClaimToken token = new ClaimToken(entry.id, entry.incarnation, number);
      ClaimFields fields = ClaimFieldsConverter.fields(BOOKING, CONTENT, true, token);
      entry.controller.onMessage(
          "owner", ClaimReply.withoutResponse(fields, ClaimReply.Kind.GRANTED, 0), entry.now());
    }
    assertThat(first.join()).isInstanceOf(ClaimOutcome.Granted.class);
    assertThat(second.join()).isEqualTo(new ClaimOutcome.Running(entry.id, "", false));
  }

  /** Guards against an untrue "not run" of an owner whose shard may have moved on. */
  @Example
  void ownerWithoutLeaseDoesNotAnswer() {
    Node owner = owner();
    for (Node node : world.processes) {
      node.leaseUntilNanos = node.now() + 60_000 * MILLI;
      world.pause(node, node.equals(owner) ? 0 : 60_000 * MILLI);
    }
    owner.leaseUntilNanos = owner.now();
    world.storeFaults.outage = true;
    assertThat(claimNow(owner, BOOKING, false)).isEqualTo(new ClaimOutcome.Unknown(100));
  }

  /** Guards against work that is lost or run twice when the entry that holds its claim ends. */
  @Example
  void endOfTheHolderLeavesStreamsResumableAndBookingsUnknown() {
    Node holder = other();
    RequestIdentity report = new RequestIdentity("c", "report");
    claimNow(holder, BOOKING, false);
    claimNow(holder, report, true);
    holder.controller.dispatched(BOOKING, "e", holder.now());
    holder.controller.dispatched(report, "e", holder.now());
    run(100);
    assertThat(claimNow(owner(), report, true))
        .isEqualTo(new ClaimOutcome.Running(holder.id, "e", true));
    world.crash(holder);
    run(2_000);
    assertThat(claimNow(owner(), BOOKING, false)).isEqualTo(new ClaimOutcome.Unknown(0));
    assertThat(claimNow(owner(), report, true))
        .isEqualTo(new ClaimOutcome.Running(owner().id, "e", true));
    owner().controller.answered(report, response(5), owner().now());
    run(100);
    assertThat(claimNow(other(), report, true)).isEqualTo(new ClaimOutcome.Answered(response(5)));
  }

  /** Guards against lost responses when the owner ends: journal up to 4 KB, backup for the rest. */
  @Example
  void responsesSurviveTheOwner() {
    RequestIdentity report = new RequestIdentity("c", "report");
    RequestIdentity large = new RequestIdentity("c", "large");
    Node first = owner();
    Node entry = other();
    for (RequestIdentity identity : List.of(BOOKING, large, report)) {
      claimNow(entry, identity, identity.equals(report));
      entry.controller.dispatched(identity, "e", entry.now());
      int bytes = identity.equals(BOOKING) ? 4_096 : 4_097;
      entry.controller.answered(identity, response(bytes), entry.now());
      run(400);
    }
    assertThat(claimNow(entry, large, false)).isEqualTo(new ClaimOutcome.Answered(response(4_097)));
    world.crash(first);
    run(3_000);
    assertThat(claimNow(entry, BOOKING, false))
        .isEqualTo(new ClaimOutcome.Answered(response(4_096)));
    assertThat(claimNow(entry, report, true)).isEqualTo(new ClaimOutcome.Answered(response(4_097)));
    assertThat(claimNow(entry, large, false)).isEqualTo(new ClaimOutcome.Unknown(0));
  }

  /**
   * Guards against a repeat of an old key that runs again, and against a journal that only grows.
   */
  @Example
  void claimsExpireAndTheirSegmentsAreDeleted() {
    claimNow(owner(), BOOKING, false);
    owner().controller.answered(BOOKING, response(1), owner().now());
    run(700_000);
    assertThat(claimNow(other(), BOOKING, false)).isEqualTo(new ClaimOutcome.Expired());
    assertThat(deletions()).isEqualTo(0);
    RequestIdentity later = new RequestIdentity("c", "later");
    claimNow(owner(), later, false);
    owner().controller.released(later, owner().now());
    run(1_300_000);
    // Each of the two requests has closed the segment in which it began.
    assertThat(deletions()).isEqualTo(2);
    assertThat(owner().controller.dump()).containsEntry("claims", 0);
  }

  private long deletions() {
    return owner().controller.storeCalls().countOf(ClaimStoreCalls.Kind.DELETE);
  }

  /** Guards against more store writes than the platform allows when every owner is loaded. */
  @Example
  void eightOwnersWriteAtMostSixtyFourTimesEachSecond() {
    ClaimWorld eight = new ClaimWorld(3, 8, 64, false);
    eight.time.runUntil(1_000 * MILLI);
    List<CompletableFuture<ClaimOutcome>> outcomes = new ArrayList<>();
    for (int i = 0; i < 4_000; i++) {
      Node entry = eight.pick(eight.processes);
      RequestIdentity identity = new RequestIdentity("c", "k" + i);
      eight.time.after(i * MILLI, () -> outcomes.add(claim(entry, identity, false)));
    }
    eight.time.runUntil(6_000 * MILLI);
    long writes = 0;
    long all = 0;
    for (Node node : eight.processes) {
      writes += node.controller.storeCalls().countOf(ClaimStoreCalls.Kind.COMMIT);
      for (ClaimStoreCalls.Kind kind : ClaimStoreCalls.Kind.values()) {
        all += node.controller.storeCalls().countOf(kind);
      }
    }
    assertWithMessage("commits in 4 s").that(writes).isAtMost(8 + 4 * 64);
    assertWithMessage("calls other than commits").that(all).isEqualTo(writes);
    long granted = outcomes.stream().filter(o -> o.join() instanceof ClaimOutcome.Granted).count();
    assertThat(granted).isEqualTo(4_000);
  }
}
