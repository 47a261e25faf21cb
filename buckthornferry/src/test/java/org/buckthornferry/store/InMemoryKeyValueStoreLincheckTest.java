package org.buckthornferry.store;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.jetbrains.kotlinx.lincheck.LinChecker;
import org.jetbrains.kotlinx.lincheck.annotations.Operation;
import org.jetbrains.kotlinx.lincheck.annotations.Param;
import org.jetbrains.kotlinx.lincheck.paramgen.IntGen;
import org.jetbrains.kotlinx.lincheck.strategy.managed.modelchecking.ModelCheckingOptions;
import org.junit.jupiter.api.Test;

/**
 * Guards against two writers that both win a compare-and-swap and against a lease that lives on
 * after its end was seen.
 */
@Param(name = "version", gen = IntGen.class, conf = "0:2")
@Param(name = "lease", gen = IntGen.class, conf = "1:2")
public class InMemoryKeyValueStoreLincheckTest {
  private volatile long nowNanos;
  private final InMemoryKeyValueStore store = new InMemoryKeyValueStore(() -> nowNanos);

  /** Writes when the version is the expected one. */
  @Operation
  public String compareAndSwap(@Param(name = "version") int expectedVersion) {
    return outcome(store.compareAndSwap("key", expectedVersion, new byte[0], "attempt"));
  }

  /** Reads the version. */
  @Operation
  public long read() {
    return store.get("key").join().map(VersionedValue::version).orElse(0L);
  }

  /** Deletes when the version is the expected one. */
  @Operation
  public String delete(@Param(name = "version") int expectedVersion) {
    return outcome(store.delete("key", expectedVersion));
  }

  /** Grants a lease. */
  @Operation
  public String grantLease() {
    return outcome(store.grantLease(1));
  }

  /** Renews a lease. */
  @Operation
  public String renewLease(@Param(name = "lease") int lease) {
    return outcome(store.renewLease(lease));
  }

  /** Reads whether a lease is live. */
  @Operation
  public String isLeaseLive(@Param(name = "lease") int lease) {
    return outcome(store.isLeaseLive(lease));
  }

  /** Ends a lease. */
  @Operation
  public String revokeLease(@Param(name = "lease") int lease) {
    return outcome(store.revokeLease(lease));
  }

  /** Lets every lease that is not renewed end. */
  @Operation
  public void advanceClock() {
    nowNanos = 2_000_000;
  }

  private static String outcome(CompletableFuture<?> future) {
    try {
      return String.valueOf(future.join());
    } catch (CompletionException e) {
      return StoreException.kindOf(e).name();
    }
  }

  @Test
  void operationsAreLinearizable() {
    LinChecker.check(
        InMemoryKeyValueStoreLincheckTest.class,
        new ModelCheckingOptions()
            .iterations(10)
            .invocationsPerIteration(100)
            .threads(2)
            .actorsPerThread(3)
            .actorsBefore(1)
            .actorsAfter(1));
  }
}
