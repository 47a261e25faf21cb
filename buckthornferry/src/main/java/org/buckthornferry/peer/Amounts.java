package org.buckthornferry.peer;

import java.io.IOException;
import org.buckthornferry.util.Checks;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Amounts of the resources of an endpoint, each at least 0.
 *
 * @param concurrent requests that run at once
 * @param prefillTokens prompt tokens of the running requests
 * @param decodeTokens output tokens of the running requests
 */
public record Amounts(long concurrent, long prefillTokens, long decodeTokens) {
  /** An amount without a bound. */
  public static final long UNLIMITED = Long.MAX_VALUE;

  /** Nothing of every resource. */
  public static final Amounts ZERO = new Amounts(0, 0, 0);

  /** One request whose tokens are not counted. */
  public static final Amounts ONE_REQUEST = new Amounts(1, 0, 0);

  /** Checks that no amount is negative. */
  public Amounts {
    Checks.notNegative(concurrent, "concurrent");
    Checks.notNegative(prefillTokens, "prefillTokens");
    Checks.notNegative(decodeTokens, "decodeTokens");
  }

  /** Returns a bound on concurrent requests only. */
  public static Amounts ofConcurrent(long concurrent) {
    return new Amounts(concurrent, UNLIMITED, UNLIMITED);
  }

  /** Returns the sum; a sum with an unlimited amount is unlimited. */
  public Amounts plus(Amounts other) {
    return new Amounts(
        plus(concurrent, other.concurrent),
        plus(prefillTokens, other.prefillTokens),
        plus(decodeTokens, other.decodeTokens));
  }

  /** Returns the difference, at least zero; an unlimited amount stays unlimited. */
  public Amounts minus(Amounts other) {
    return new Amounts(
        minus(concurrent, other.concurrent),
        minus(prefillTokens, other.prefillTokens),
        minus(decodeTokens, other.decodeTokens));
  }

  /** Returns the larger of each amount. */
  public Amounts max(Amounts other) {
    return new Amounts(
        Math.max(concurrent, other.concurrent),
        Math.max(prefillTokens, other.prefillTokens),
        Math.max(decodeTokens, other.decodeTokens));
  }

  /** Returns the smaller of each amount. */
  public Amounts min(Amounts other) {
    return new Amounts(
        Math.min(concurrent, other.concurrent),
        Math.min(prefillTokens, other.prefillTokens),
        Math.min(decodeTokens, other.decodeTokens));
  }

  /** Returns whether no amount is above that of {@code bound}. */
  public boolean fits(Amounts bound) {
    return concurrent <= bound.concurrent
        && prefillTokens <= bound.prefillTokens
        && decodeTokens <= bound.decodeTokens;
  }

  void encode(MessagePacker packer) throws IOException {
    packer.packLong(wire(concurrent)).packLong(wire(prefillTokens)).packLong(wire(decodeTokens));
  }

  static Amounts decode(MessageUnpacker unpacker) throws IOException {
    return new Amounts(
        unwire(unpacker.unpackLong()),
        unwire(unpacker.unpackLong()),
        unwire(unpacker.unpackLong()));
  }

  /** Returns the encoded form, in which an unlimited amount takes one byte. */
  private static long wire(long amount) {
    return amount == UNLIMITED ? -1 : amount;
  }

  private static long unwire(long amount) {
    return amount == -1 ? UNLIMITED : amount;
  }

  private static long plus(long a, long b) {
    long sum = a + b;
    return sum < 0 ? UNLIMITED : sum;
  }

  private static long minus(long a, long b) {
    return a == UNLIMITED ? UNLIMITED : Math.max(0, a - b);
  }
}
