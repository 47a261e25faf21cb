package org.buckthornferry.store;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.jetbrains.kotlinx.lincheck.LinChecker;
import org.jetbrains.kotlinx.lincheck.annotations.Operation;
import org.jetbrains.kotlinx.lincheck.annotations.Param;
import org.jetbrains.kotlinx.lincheck.paramgen.IntGen;
import org.jetbrains.kotlinx.lincheck.strategy.managed.modelchecking.ModelCheckingOptions;
import org.junit.jupiter.api.Test;

class InMemoryKeyValueStoreLincheckTest {
  /** Guards against two concurrent writers whose compare-and-swap both succeed. */
  @Test
  void valuesAreLinearizable() {
    LinChecker.check(Values.class, options());
  }

  /** Guards against a lease that is live again after it was observed to have ended. */
  @Test
  void leasesAreLinearizable() {
    LinChecker.check(Leases.class, options());
  }

  private static ModelCheckingOptions options() {
    return new ModelCheckingOptions()
        .iterations(8)
        .invocationsPerIteration(80)
        .threads(2)
        .actorsPerThread(3)
        .actorsBefore(1)
        .actorsAfter(1);
  }

  private static String outcome(CompletableFuture<?> future) {
    try {
      return String.valueOf(future.join());
    } catch (CompletionException e) {
      return StoreException.kindOf(e).name();
    }
  }

  /** The operations on one key. */
  @Param(name = "version", gen = IntGen.class, conf = "0:1")
  public static class Values {
    private final InMemoryKeyValueStore store = new InMemoryKeyValueStore(() -> 0);

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
  }

  /** The operations on leases. */
  @Param(name = "lease", gen = IntGen.class, conf = "1:2")
  public static class Leases {
    private volatile long nowNanos;
    private final InMemoryKeyValueStore store = new InMemoryKeyValueStore(() -> nowNanos);

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

    /** Revokes a lease. */
    @Operation
    public String revokeLease(@Param(name = "lease") int lease) {
      return outcome(store.revokeLease(lease));
    }

    /** Moves the clock past the expiry of every lease granted or renewed at time 0. */
    @Operation
    public void advanceClock() {
      nowNanos = 2_000_000;
    }
  }
}
