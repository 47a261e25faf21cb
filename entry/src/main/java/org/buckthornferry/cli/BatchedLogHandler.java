package org.buckthornferry.cli;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.logging.Handler;
import java.util.logging.LogRecord;

/**
 * Writes log lines in batches on a thread of its own, so that a slow reader of the output never
 * delays a request. Lines beyond the budget are dropped and counted.
 */
public final class BatchedLogHandler extends Handler {
  /** How long lines are collected, in milliseconds. */
  private static final long BATCH_MILLIS = 100;

  /** The most bytes that wait to be written; several seconds of lines at the full budget. */
  private static final int MAX_PENDING_BYTES = 1 << 20;

  private final OutputStream output;
  private final int maxLinesPerSecond;
  private final Thread writer = new Thread(this::writeBatches, "log");
  private ByteArrayOutputStream pending = new ByteArrayOutputStream(16 << 10);
  private long second;
  private int linesInSecond;
  private long dropped;
  private boolean closed;

  /** Creates a handler whose thread has not been started. */
  public BatchedLogHandler(OutputStream output, int maxLinesPerSecond) {
    this.output = output;
    this.maxLinesPerSecond = maxLinesPerSecond;
    setFormatter(new JsonLogFormatter());
    writer.setDaemon(true);
  }

  /** Starts to write. */
  public void start() {
    writer.start();
  }

  @Override
  public synchronized void publish(LogRecord record) {
    if (closed || !isLoggable(record)) {
      return;
    }
    long now = TimeUnit.NANOSECONDS.toSeconds(System.nanoTime());
    if (now != second) {
      second = now;
      linesInSecond = 0;
    }
    if (linesInSecond >= maxLinesPerSecond || pending.size() >= MAX_PENDING_BYTES) {
      dropped++;
      return;
    }
    linesInSecond++;
    if (dropped > 0) {
      appendDropped();
    }
    append(getFormatter().format(record));
    if (pending.size() > 0) {
      notifyAll();
    }
  }

  @Override
  public synchronized void flush() {
    writeNow();
  }

  @Override
  public synchronized void close() {
    closed = true;
    writeNow();
    notifyAll();
  }

  private void appendDropped() {
    append("{\"event\":\"log.dropped\",\"lines\":" + dropped + "}\n");
    dropped = 0;
  }

  private void append(String line) {
    pending.writeBytes(line.getBytes(StandardCharsets.UTF_8));
  }

  private void writeBatches() {
    try {
      while (true) {
        byte[] batch = nextBatch();
        if (batch.length == 0) {
          return;
        }
        output.write(batch);
        output.flush();
        TimeUnit.MILLISECONDS.sleep(BATCH_MILLIS);
      }
    } catch (IOException e) {
      reportError("log output failed", e, java.util.logging.ErrorManager.WRITE_FAILURE);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Waits for lines; returns none when the handler was closed. */
  private synchronized byte[] nextBatch() throws InterruptedException {
    while (pending.size() == 0 && !closed) {
      wait();
    }
    byte[] batch = pending.toByteArray();
    pending = new ByteArrayOutputStream(16 << 10);
    return batch;
  }

  private void writeNow() {
    try {
      output.write(pending.toByteArray());
      output.flush();
      pending.reset();
    } catch (IOException e) {
      reportError("log output failed", e, java.util.logging.ErrorManager.WRITE_FAILURE);
    }
  }
}
