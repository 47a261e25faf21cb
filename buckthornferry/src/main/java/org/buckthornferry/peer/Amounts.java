package org.buckthornferry.peer;

import java.io.IOException;
import org.buckthornferry.util.Checks;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Quantities of the resources of an endpoint, each at least 0.
 *
 * @param concurrent the number of concurrent requests
 * @param prefillTokens prompt tokens of the running requests
 * @param decodeTokens output tokens of the running requests
 */
public record Amounts(long concurrent, long prefillTokens, long decodeTokens) {
  /** The value of an unlimited amount. */
  public static final long UNLIMITED = Long.MAX_VALUE;

  /** Zero of every resource. */
  public static final Amounts ZERO = new Amounts(0, 0, 0);

  /** One request whose tokens are not counted. */
  public static final Amounts ONE_REQUEST = new Amounts(1, 0, 0);

  /** Checks that no amount is negative. */
  public Amounts {
    Checks.notNegative(concurrent, "concurrent");
    Checks.notNegative(prefillTokens, "prefillTokens");
    Checks.notNegative(decodeTokens, "decodeTokens");
  }

  /** Returns a limit on concurrent requests only. */
  public static Amounts ofConcurrent(long concurrent) {
    return new Amounts(concurrent, UNLIMITED, UNLIMITED);
  }

  /** Returns the sum; a sum with an unlimited amount is unlimited. */
  public Amounts plus(Amounts other) {
    return new Amounts(
        sum(concurrent, other.concurrent),
        sum(prefillTokens, other.prefillTokens),
        sum(decodeTokens, other.decodeTokens));
  }

  /** Returns the difference, at least 0; an unlimited amount stays unlimited. */
  public Amounts minus(Amounts other) {
    return new Amounts(
        difference(concurrent, other.concurrent),
        difference(prefillTokens, other.prefillTokens),
        difference(decodeTokens, other.decodeTokens));
  }

  /** Returns the component-wise maximum. */
  public Amounts max(Amounts other) {
    return new Amounts(
        Math.max(concurrent, other.concurrent),
        Math.max(prefillTokens, other.prefillTokens),
        Math.max(decodeTokens, other.decodeTokens));
  }

  /** Returns the component-wise minimum. */
  public Amounts min(Amounts other) {
    return new Amounts(
        Math.min(concurrent, other.concurrent),
        Math.min(prefillTokens, other.prefillTokens),
        Math.min(decodeTokens, other.decodeTokens));
  }

  /** Returns whether no amount exceeds that of {@code bound}. */
  public boolean fits(Amounts bound) {
    return concurrent <= bound.concurrent
        && prefillTokens <= bound.prefillTokens
        && decodeTokens <= bound.decodeTokens;
  }

  void encode(MessagePacker packer) throws IOException {
    packer
        .packLong(toWire(concurrent))
        .packLong(toWire(prefillTokens))
        .packLong(toWire(decodeTokens));
  }

  static Amounts decode(MessageUnpacker unpacker) throws IOException {
    return new Amounts(
        fromWire(unpacker.unpackLong()),
        fromWire(unpacker.unpackLong()),
        fromWire(unpacker.unpackLong()));
  }

  /** Returns the encoded value; unlimited is encoded as -1, which takes one byte. */
  private static long toWire(long amount) {
    return amount == UNLIMITED ? -1 : amount;
  }

  private static long fromWire(long amount) {
    return amount == -1 ? UNLIMITED : amount;
  }

  private static long sum(long a, long b) {
    long sum = a + b;
    return sum < 0 ? UNLIMITED : sum;
  }

  private static long difference(long a, long b) {
    return a == UNLIMITED ? UNLIMITED : Math.max(0, a - b);
  }
}
