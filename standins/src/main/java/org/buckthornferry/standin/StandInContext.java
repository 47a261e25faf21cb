package org.buckthornferry.standin;

import io.netty.channel.EventLoopGroup;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.buckthornferry.util.MonotonicClock;

/**
 * What the stand-ins of one process share.
 *
 * @param wallMillis the wall-clock time, which the logs of several processes have in common
 */
record StandInContext(EventLoopGroup eventLoops, MonotonicClock clock, LongSupplier wallMillis) {
  /** Returns a new source of randomness. */
  static RandomGenerator random(long seed) {
    return RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
  }
}
