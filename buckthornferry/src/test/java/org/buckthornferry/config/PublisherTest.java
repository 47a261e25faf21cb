package org.buckthornferry.config;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.buckthornferry.store.StoreException;
import org.buckthornferry.testing.FakeFleet;
import org.buckthornferry.testing.FakeStoreClient;

class PublisherTest {
  private static Publisher publisher(FakeFleet fleet) {
    return new Publisher(
        new FakeStoreClient(fleet, null),
        new Random(fleet.random.nextLong()),
        task -> fleet.after(50, task));
  }

  private static <T> T await(FakeFleet fleet, CompletableFuture<T> future) {
    fleet.runMillis(2_000);
    assertThat(future.isDone()).isTrue();
    return future.join();
  }

  private static <T extends Throwable> T failure(
      FakeFleet fleet, CompletableFuture<?> future, Class<T> type) {
    CompletionException failure =
        assertThrows(CompletionException.class, () -> await(fleet, future));
    assertThat(failure).hasCauseThat().isInstanceOf(type);
    return type.cast(failure.getCause());
  }

  /** Revision numbers must be consecutive. */
  @Example
  void revisionsCountUpFromOne() {
    FakeFleet fleet = new FakeFleet(1, 10);
    Publisher publisher = publisher(fleet);
    assertThat(await(fleet, publisher.current())).isEqualTo(EncodedRevision.NONE);
    for (int revision = 1; revision <= 3; revision++) {
      PublishResult result = await(fleet, publisher.publish(TestDeclarations.withWeight(revision)));
      assertThat(result.revision()).isEqualTo(revision);
      ConfigSnapshot stored = await(fleet, publisher.current()).snapshot();
      assertThat(stored.declarations()).isEqualTo(TestDeclarations.withWeight(revision));
      assertThat(stored.attemptId()).isEqualTo(result.attemptId());
    }
  }

  /** An operator must not unknowingly overwrite the changes of another. */
  @Example
  void secondOfTwoOperatorsGetsConflictThatNamesBothRevisions() {
    FakeFleet fleet = new FakeFleet(2, 10);
    await(fleet, publisher(fleet).publish(TestDeclarations.withWeight(1)));
    CompletableFuture<PublishResult> first =
        publisher(fleet).publish(TestDeclarations.withWeight(2));
    CompletableFuture<PublishResult> second =
        publisher(fleet).publish(TestDeclarations.withWeight(3));
    ConfigConflictException conflict = failure(fleet, second, ConfigConflictException.class);
    assertThat(first.join().revision()).isEqualTo(2);
    assertThat(conflict.expectedRevision()).isEqualTo(1);
    assertThat(conflict.currentRevision()).isEqualTo(2);
    assertThat(conflict).hasMessageThat().contains(first.join().attemptId());
    ConfigConflictException stale =
        failure(
            fleet,
            publisher(fleet).publish(TestDeclarations.withWeight(4), 1),
            ConfigConflictException.class);
    assertThat(stale.currentRevision()).isEqualTo(2);
  }

  /** A drain must survive a publish of files and end only when the domain is returned. */
  @Example
  void domainStaysDrainedUntilItIsReturned() {
    FakeFleet fleet = new FakeFleet(3, 10);
    Publisher publisher = publisher(fleet);
    await(fleet, publisher.publish(TestDeclarations.withWeight(1)));
    assertThat(await(fleet, publisher.drain("kol-a")).revision()).isEqualTo(2);
    assertThat(await(fleet, publisher.drain("kol-a")).changed()).isFalse();
    await(fleet, publisher.publish(TestDeclarations.withWeight(2)));
    assertThat(await(fleet, publisher.current()).snapshot().declarations().isDrained("kol-a"))
        .isTrue();
    await(fleet, publisher.returnDomain("kol-a"));
    assertThat(await(fleet, publisher.current()).snapshot().declarations().isDrained("kol-a"))
        .isFalse();
    ConfigException unknown = failure(fleet, publisher.drain("kol-x"), ConfigException.class);
    assertThat(unknown.problems().get(0).allowed()).contains("kol-a");
  }

  /** P7 for operators: a store that is down is reported, which means that nothing was changed. */
  @Example
  void unreachableStoreIsReported() {
    FakeFleet fleet = new FakeFleet(4, 10);
    fleet.storeDown = true;
    StoreException failure =
        failure(
            fleet, publisher(fleet).publish(TestDeclarations.withWeight(1)), StoreException.class);
    assertThat(failure.kind()).isEqualTo(StoreException.Kind.UNAVAILABLE);
  }

  /** A revision above the store's limit on the size of a value must be rejected. */
  @Example
  void declarationsAboveTheLimitOfTheStoreAreRefused() {
    FakeFleet fleet = new FakeFleet(5, 10);
    Random random = new Random(5);
    List<CustomerDeclaration> customers = new ArrayList<>();
    for (int i = 0; i < 40_000; i++) {
      String key =
          String.format(
              "%016x%016x%016x%016x",
              random.nextLong(), random.nextLong(), random.nextLong(), random.nextLong());
      customers.add(new CustomerDeclaration("c" + i, key, 1));
    }
    Declarations large = new Declarations(List.of(), customers, List.of());
    ConfigException refused =
        failure(fleet, publisher(fleet).publish(large), ConfigException.class);
    assertThat(refused.problems().get(0).allowed()).contains("at most 1048576 bytes");
  }

  /** The reported outcome must be true when responses are lost and operators publish at once. */
  @Property(tries = 2_000, seed = "6")
  void reportedOutcomeIsTrueWhenAnswersAreLost(@ForAll long seed) {
    FakeFleet fleet = new FakeFleet(seed, 10);
    fleet.lostAnswerPercent = fleet.random.nextInt(70);
    Map<CompletableFuture<PublishResult>, Integer> published = new HashMap<>();
    for (int i = 1; i <= 4; i++) {
      published.put(publisher(fleet).publish(TestDeclarations.withWeight(i)), i);
      fleet.runMillis(fleet.random.nextInt(10));
    }
    fleet.runMillis(5_000);
    fleet.lostAnswerPercent = 0;
    EncodedRevision stored = await(fleet, publisher(fleet).current());
    long succeeded = 0;
    for (CompletableFuture<PublishResult> result : published.keySet()) {
      assertThat(result.isDone()).isTrue();
      if (!result.isCompletedExceptionally()) {
        succeeded++;
        assertThat(stored.includes(result.join().attemptId())).isTrue();
      }
    }
    assertThat(stored.snapshot().revision()).isAtLeast(succeeded);
    if (published.keySet().stream().noneMatch(PublisherTest::isUnknown)) {
      assertThat(stored.snapshot().revision()).isEqualTo(succeeded);
    }
  }

  private static boolean isUnknown(CompletableFuture<?> future) {
    return future
        .handle(
            (value, failure) ->
                failure != null
                    && !(failure.getCause() instanceof ConfigConflictException)
                    && !(failure instanceof ConfigConflictException)
                    && StoreException.kindOf(failure) == StoreException.Kind.OUTCOME_UNKNOWN)
        .join();
  }
}
