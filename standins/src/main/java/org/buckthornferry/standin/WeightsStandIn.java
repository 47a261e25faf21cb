package org.buckthornferry.standin;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.buckthornferry.http.HttpExchange;
import org.buckthornferry.util.Checks;

/** Stand-in of the weight store: its downloads share one rate. */
final class WeightsStandIn implements StandIn {
  private static final String PATH = "/v1/weights/";
  private static final long TICK_MILLIS = 20;
  private static final int MAX_PART_BYTES = 64 * 1024;

  private final EventLoop loop;
  private final long weightBytes;
  private final long bytesPerSecond;
  private final int maxDownloads;
  private final List<Download> downloads = new ArrayList<>();
  private final FaultSwitch<WeightsFaults> faults =
      new FaultSwitch<>(WeightsFaults.class, WeightsFaults.NONE);
  private ScheduledFuture<?> ticks;

  private static final class Download {
    private final HttpExchange exchange;
    private long leftBytes;

    private Download(HttpExchange exchange, long leftBytes) {
      this.exchange = exchange;
      this.leftBytes = leftBytes;
    }
  }

  /**
   * Creates a weight store.
   *
   * @param weightBytes the size of every model
   * @param bytesPerSecond the rate that all downloads share
   * @param maxDownloads the downloads at once; further ones get 429
   */
  WeightsStandIn(EventLoop loop, long weightBytes, long bytesPerSecond, int maxDownloads) {
    this.loop = loop;
    this.weightBytes = Checks.positive(weightBytes, "weightBytes");
    this.bytesPerSecond = Checks.positive(bytesPerSecond, "bytesPerSecond");
    this.maxDownloads = (int) Checks.positive(maxDownloads, "maxDownloads");
  }

  @Override
  public FaultSwitch<WeightsFaults> faults() {
    return faults;
  }

  @Override
  public void start() {
    ticks = loop.scheduleAtFixedRate(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
  }

  @Override
  public void stop() {
    ticks.cancel(false);
  }

  @Override
  public void handle(HttpExchange exchange) {
    loop.execute(() -> handleOnLoop(exchange));
  }

  private void handleOnLoop(HttpExchange exchange) {
    if (!exchange.method().equals("GET") || !exchange.path().startsWith(PATH)) {
      Replies.error(exchange, 404, "unknown path");
    } else if (faults.current().outage()) {
      Replies.error(exchange, 503, "outage");
    } else if (downloads.size() >= maxDownloads) {
      Replies.error(exchange, 429, "too many downloads");
    } else {
      begin(exchange);
    }
  }

  private void begin(HttpExchange exchange) {
    exchange.start(
        200,
        Map.of(
            "Content-Type",
            "application/octet-stream",
            "Weight-Bytes",
            Long.toString(weightBytes)));
    Download download = new Download(exchange, weightBytes);
    downloads.add(download);
    exchange.onClose(() -> loop.execute(() -> downloads.remove(download)));
  }

  private void tick() {
    if (downloads.isEmpty()) {
      return;
    }
    long share = bytesPerSecond * TICK_MILLIS / 1_000 / downloads.size();
    for (Iterator<Download> active = downloads.iterator(); active.hasNext(); ) {
      Download download = active.next();
      send(download, Math.max(1, share));
      if (faults.current().truncate() && download.leftBytes * 2 < weightBytes) {
        active.remove();
        download.exchange.abort();
      } else if (download.leftBytes == 0) {
        active.remove();
        download.exchange.end();
      }
    }
  }

  private static void send(Download download, long shareBytes) {
    long budget = Math.min(shareBytes, download.leftBytes);
    while (budget > 0 && download.exchange.isWritable()) {
      int part = (int) Math.min(budget, MAX_PART_BYTES);
      download.exchange.write(new byte[part]);
      download.leftBytes -= part;
      budget -= part;
    }
  }
}
