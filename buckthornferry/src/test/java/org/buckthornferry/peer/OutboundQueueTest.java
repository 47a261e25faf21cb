package org.buckthornferry.peer;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.Example;
import org.jetbrains.kotlinx.lincheck.LinChecker;
import org.jetbrains.kotlinx.lincheck.annotations.Operation;
import org.jetbrains.kotlinx.lincheck.annotations.Param;
import org.jetbrains.kotlinx.lincheck.paramgen.IntGen;
import org.jetbrains.kotlinx.lincheck.strategy.managed.modelchecking.ModelCheckingOptions;

/** Tests {@link OutboundQueue}; Lincheck runs the operations concurrently. */
public class OutboundQueueTest {
  private static final long MAX_AGE_NANOS = 100;

  private final OutboundQueue queue = new OutboundQueue(3, 10, MAX_AGE_NANOS);

  @Operation
  public int offer(@Param(gen = IntGen.class, conf = "0:5") int size) {
    return queue.offer(new byte[Math.floorMod(size, 6) + 1], 0);
  }

  @Operation
  public int poll() {
    byte[] payload = queue.poll(0);
    return payload == null ? -1 : payload.length;
  }

  @Operation
  public long bytes() {
    return queue.bytes();
  }

  @Operation
  public boolean requestDrain() {
    return queue.requestDrain();
  }

  @Operation
  public void drainStarted() {
    queue.drainStarted();
  }

  /** Guards against lost or duplicate frames, wrong byte counts and concurrent drains. */
  @Example
  void operationsAreLinearizable() {
    LinChecker.check(
        OutboundQueueTest.class,
        new ModelCheckingOptions()
            .iterations(5)
            .invocationsPerIteration(100)
            .threads(2)
            .actorsPerThread(3));
  }

  /** Guards the rule that a newer message supersedes an older one. */
  @Example
  void oldestFramesAreDroppedWhenFull() {
    OutboundQueue full = new OutboundQueue(3, 10, MAX_AGE_NANOS);
    assertThat(full.offer(new byte[4], 0)).isEqualTo(0);
    assertThat(full.offer(new byte[5], 0)).isEqualTo(0);
    assertThat(full.offer(new byte[6], 0)).isEqualTo(2);
    assertThat(full.poll(0)).hasLength(6);
    assertThat(full.poll(0)).isNull();
  }

  /** Guards against stale heartbeats that are sent after a long outage. */
  @Example
  void expiredFramesAreNotSent() {
    OutboundQueue old = new OutboundQueue(3, 10, MAX_AGE_NANOS);
    old.offer(new byte[1], 0);
    old.offer(new byte[2], 50);
    assertThat(old.poll(150)).hasLength(2);
  }
}
