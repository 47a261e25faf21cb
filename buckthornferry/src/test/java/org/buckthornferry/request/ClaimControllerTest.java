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
import org.buckthornferry.request.ClaimSimulation.Node;

/** Tests individual behaviours of claims in virtual time, without random faults. */
class ClaimControllerTest {
  private static final long NANOS_PER_MILLI = ClaimSimulation.NANOS_PER_MILLI;
  private static final ContentHash CONTENT = new ContentHash(1, 2);
  private static final RequestIdentity IDENTITY = new RequestIdentity("c", "booking");

  private final ClaimSimulation simulation = new ClaimSimulation(7, 3, 1, false);

  ClaimControllerTest() {
    run(400);
  }

  private void run(long millis) {
    simulation.time.runUntil(simulation.time.nowNanos() + millis * NANOS_PER_MILLI);
  }

  private Node owner() {
    return simulation.processes.stream()
        .filter(node -> node.controller.serves(0))
        .findFirst()
        .get();
  }

  private Node other() {
    return simulation.processes.stream()
        .filter(node -> !node.controller.serves(0))
        .findFirst()
        .get();
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

  /** Guards against a claim that waits for the commit interval although no write preceded it. */
  @Example
  void claimAfterIdlePeriodCommitsImmediately() {
    CompletableFuture<ClaimOutcome> outcome = claim(owner(), IDENTITY, false);
    run(20);
    assertThat(outcome.join()).isInstanceOf(ClaimOutcome.Granted.class);
  }

  /**
   * Guards against dispatching a non-idempotent request whose claim is not in the store and would
   * be lost with its owner.
   */
  @Example
  void storeOutageRejectsNonIdempotentClaimsWithinJournalWait() {
    simulation.storeFaults.outage = true;
    CompletableFuture<ClaimOutcome> rejected = claim(other(), IDENTITY, false);
    CompletableFuture<ClaimOutcome> report =
        claim(other(), new RequestIdentity("c", "report"), true);
    run(ClaimSimulation.SETTINGS.journalWaitMillis() + 100);
    assertThat(rejected.join()).isInstanceOf(ClaimOutcome.Unavailable.class);
    assertThat(report.join()).isInstanceOf(ClaimOutcome.Granted.class);
    simulation.storeFaults.outage = false;
    run(1_000);
    assertThat(claimNow(other(), IDENTITY, false)).isInstanceOf(ClaimOutcome.Granted.class);
  }

  /**
   * Guards against a false "not run" by a client that reached no owner: with a caller's key an
   * earlier attempt may have run; with a generated key this attempt is the first. After the release
   * the caller's retry is a new request.
   */
  @Example
  void timedOutClientReleasesItsToken() {
    Node entry = other();
    simulation.lossRate = 1;
    CompletableFuture<ClaimOutcome> byCaller = claim(entry, IDENTITY, false);
    RequestIdentity generated = RequestIdentity.generated("c", new SplittableRandom(1));
    CompletableFuture<ClaimOutcome> byEntry = claim(entry, generated, false);
    run(2_000);
    assertThat(byCaller.join()).isEqualTo(new ClaimOutcome.Unknown(100));
    assertThat(byEntry.join()).isEqualTo(new ClaimOutcome.Unavailable(100));
    simulation.lossRate = 0;
    run(4_000);
    assertThat(claimNow(owner(), IDENTITY, false)).isInstanceOf(ClaimOutcome.Granted.class);
  }

  /** Guards against a second run of a non-idempotent request after a failed dispatch. */
  @Example
  void failedDispatchResetsOnlyIdempotentClaims() {
    RequestIdentity report = new RequestIdentity("c", "report");
    claimNow(other(), IDENTITY, false);
    claimNow(other(), report, true);
    for (RequestIdentity identity : List.of(IDENTITY, report)) {
      other().controller.dispatched(identity, "e", other().now());
      other().controller.failed(identity, other().now());
    }
    run(100);
    assertThat(claimNow(owner(), IDENTITY, false)).isEqualTo(new ClaimOutcome.Unknown(0));
    assertThat(claimNow(owner(), report, true)).isInstanceOf(ClaimOutcome.Granted.class);
  }

  /**
   * Guards against a claim that is held for the whole claim window by a delayed duplicate of an
   * ended token's request, because the reply with the grant was lost.
   */
  @Example
  void delayedDuplicateOfEndedRequestDoesNotHoldTheClaim() {
    for (Node node : List.of(other(), owner())) {
      claimNow(node, IDENTITY, false);
      node.controller.released(IDENTITY, node.now());
      run(200);
    }
    simulation.lossRate = 1;
    Node late = other();
    ClaimFields request =
        ClaimFieldsConverter.fields(
            IDENTITY, CONTENT, false, new ClaimToken(late.id, late.incarnation, 1));
    owner().controller.onMessage(late.id, new ClaimRequest(request), owner().now());
    run(500);
    simulation.lossRate = 0;
    assertThat(claimNow(owner(), IDENTITY, false)).isInstanceOf(ClaimOutcome.Running.class);
    run(2_000);
    assertThat(claimNow(owner(), IDENTITY, false)).isInstanceOf(ClaimOutcome.Granted.class);
  }

  /** Guards against two dispatches by one process after the owner has lost the first grant. */
  @Example
  void overlappingAttemptsOfOneProcessDispatchOnce() {
    Node entry = other();
    simulation.lossRate = 1;
    CompletableFuture<ClaimOutcome> first = claim(entry, IDENTITY, true);
    CompletableFuture<ClaimOutcome> second = claim(entry, IDENTITY, true);
    for (long number = 1; number <= 2; number++) {
      ClaimToken token = new ClaimToken(entry.id, entry.incarnation, number);
      ClaimFields fields = ClaimFieldsConverter.fields(IDENTITY, CONTENT, true, token);
      entry.controller.onMessage(
          "owner", ClaimReply.withoutResponse(fields, ClaimReply.Kind.GRANTED, 0), entry.now());
    }
    assertThat(first.join()).isInstanceOf(ClaimOutcome.Granted.class);
    assertThat(second.join()).isEqualTo(new ClaimOutcome.Running(entry.id, "", false));
  }

  /** Guards against a false "not run" by an owner whose shard may have moved to another owner. */
  @Example
  void ownerWithoutLeaseDoesNotAnswer() {
    Node owner = owner();
    for (Node node : simulation.processes) {
      node.leaseUntilNanos = node.now() + 60_000 * NANOS_PER_MILLI;
      simulation.pause(node, node.equals(owner) ? 0 : 60_000 * NANOS_PER_MILLI);
    }
    owner.leaseUntilNanos = owner.now();
    simulation.storeFaults.outage = true;
    assertThat(claimNow(owner, IDENTITY, false)).isEqualTo(new ClaimOutcome.Unknown(100));
  }

  /**
   * Guards against requests that are lost or run twice after the instance that holds them fails.
   */
  @Example
  void holderCrashLeavesStreamsResumableAndNonIdempotentClaimsUnknown() {
    Node holder = other();
    RequestIdentity report = new RequestIdentity("c", "report");
    claimNow(holder, IDENTITY, false);
    claimNow(holder, report, true);
    holder.controller.dispatched(IDENTITY, "e", holder.now());
    holder.controller.dispatched(report, "e", holder.now());
    run(100);
    assertThat(claimNow(owner(), report, true))
        .isEqualTo(new ClaimOutcome.Running(holder.id, "e", true));
    simulation.crash(holder);
    run(2_000);
    assertThat(claimNow(owner(), IDENTITY, false)).isEqualTo(new ClaimOutcome.Unknown(0));
    assertThat(claimNow(owner(), report, true))
        .isEqualTo(new ClaimOutcome.Running(owner().id, "e", true));
    owner().controller.answered(report, response(5), owner().now());
    run(100);
    assertThat(claimNow(other(), report, true)).isEqualTo(new ClaimOutcome.Answered(response(5)));
  }

  /**
   * Guards against losing responses when the owner fails: the journal keeps non-idempotent ones up
   * to 4 KB, the backup keeps idempotent ones.
   */
  @Example
  void storedResponsesSurviveOwnerCrash() {
    RequestIdentity report = new RequestIdentity("c", "report");
    RequestIdentity large = new RequestIdentity("c", "large");
    Node first = owner();
    Node entry = other();
    for (RequestIdentity identity : List.of(IDENTITY, large, report)) {
      claimNow(entry, identity, identity.equals(report));
      entry.controller.dispatched(identity, "e", entry.now());
      int bytes = identity.equals(IDENTITY) ? 4_096 : 4_097;
      entry.controller.answered(identity, response(bytes), entry.now());
      run(400);
    }
    assertThat(claimNow(entry, large, false)).isEqualTo(new ClaimOutcome.Answered(response(4_097)));
    simulation.crash(first);
    run(3_000);
    assertThat(claimNow(entry, IDENTITY, false))
        .isEqualTo(new ClaimOutcome.Answered(response(4_096)));
    assertThat(claimNow(entry, report, true)).isEqualTo(new ClaimOutcome.Answered(response(4_097)));
    assertThat(claimNow(entry, large, false)).isEqualTo(new ClaimOutcome.Unknown(0));
  }

  /**
   * Guards against a second run after the reuse of an old key, and against a journal that grows
   * without bound.
   */
  @Example
  void claimsExpireAndTheirSegmentsAreDeleted() {
    claimNow(owner(), IDENTITY, false);
    owner().controller.answered(IDENTITY, response(1), owner().now());
    run(700_000);
    assertThat(claimNow(other(), IDENTITY, false)).isEqualTo(new ClaimOutcome.Expired());
    assertThat(deletions()).isEqualTo(0);
    RequestIdentity later = new RequestIdentity("c", "later");
    claimNow(owner(), later, false);
    owner().controller.released(later, owner().now());
    run(1_300_000);
    // Each of the two requests closed the segment that it started.
    assertThat(deletions()).isEqualTo(2);
    assertThat(owner().controller.dump()).containsEntry("claims", 0);
  }

  private long deletions() {
    return owner().controller.storeCalls().countOf(ClaimStoreCalls.Kind.DELETE);
  }

  /** Guards against exceeding the platform's limit on store writes when every owner is loaded. */
  @Example
  void eightOwnersWriteAtMostSixtyFourTimesEachSecond() {
    ClaimSimulation eight = new ClaimSimulation(3, 8, 64, false);
    eight.time.runUntil(1_000 * NANOS_PER_MILLI);
    List<CompletableFuture<ClaimOutcome>> outcomes = new ArrayList<>();
    for (int i = 0; i < 4_000; i++) {
      Node entry = eight.pick(eight.processes);
      RequestIdentity identity = new RequestIdentity("c", "k" + i);
      eight.time.after(i * NANOS_PER_MILLI, () -> outcomes.add(claim(entry, identity, false)));
    }
    eight.time.runUntil(6_000 * NANOS_PER_MILLI);
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
