package org.buckthornferry.load;

import io.netty.channel.EventLoopGroup;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.buckthornferry.http.Addresses;
import org.buckthornferry.http.HttpConnector;
import org.jboss.logging.Logger;

/** Executes the admin calls of a scenario at their times. */
final class ActionRunner {
  private static final Logger LOG = Logger.getLogger(ActionRunner.class);
  private static final long TIMEOUT_MILLIS = 5_000;
  private static final double MILLIS_PER_SECOND = TimeUnit.SECONDS.toMillis(1);

  private final HttpConnector connector;
  private final EventLoopGroup eventLoops;

  ActionRunner(HttpConnector connector, EventLoopGroup eventLoops) {
    this.connector = connector;
    this.eventLoops = eventLoops;
  }

  void schedule(Scenario scenario) {
    for (Action action : scenario.actions()) {
      eventLoops
          .next()
          .schedule(
              () -> run(action),
              (long) (action.atSeconds() * MILLIS_PER_SECOND),
              TimeUnit.MILLISECONDS);
    }
  }

  private void run(Action action) {
    connector
        .exchange(
            Addresses.ofUrl(action.url()),
            action.method(),
            URI.create(action.url()).getRawPath(),
            Map.of("Content-Type", "application/json"),
            action.body().toString().getBytes(StandardCharsets.UTF_8),
            TIMEOUT_MILLIS)
        .whenComplete(
            (reply, failure) ->
                LOG.infof(
                    "load.action.done url=%s result=%s",
                    action.url(), failure == null ? reply.status() : failure));
  }
}
