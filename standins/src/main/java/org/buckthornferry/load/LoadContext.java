package org.buckthornferry.load;

import io.netty.channel.EventLoopGroup;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import org.HdrHistogram.ConcurrentHistogram;
import org.buckthornferry.http.HttpConnector;
import org.buckthornferry.util.MonotonicClock;

/**
 * What the requests of one run share.
 *
 * @param runId distinguishes the requests of different runs
 * @param betweenTokens the times between tokens in nanoseconds
 */
record LoadContext(
    String runId,
    Scenario scenario,
    HttpConnector connector,
    EventLoopGroup eventLoops,
    MonotonicClock clock,
    LongSupplier wallMillis,
    TargetChooser targets,
    ConcurrentHistogram betweenTokens) {
  String customerKey(String customer) {
    return scenario.customerKeys().get(customer);
  }

  int maxRepeats() {
    return scenario.maxRepeats();
  }

  /** Returns the consumer of the gaps of a request; gaps count in measured phases only. */
  LongConsumer gapNanos(Arrival arrival) {
    return arrival.phase().measured() ? betweenTokens::recordValue : gap -> {};
  }
}
