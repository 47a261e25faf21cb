package org.buckthornferry.load;

import java.util.random.RandomGenerator;
import org.buckthornferry.util.Checks;

/**
 * A distribution of whole numbers.
 *
 * @param kind {@code fixed}, {@code uniform} or {@code lognormal}
 * @param min the smallest value; the value of {@code fixed}
 * @param max the largest value
 * @param median the median of {@code lognormal}
 * @param sigma the standard deviation of the logarithm of {@code lognormal}
 */
public record Distribution(String kind, long min, long max, double median, double sigma) {
  /** Checks the parameters of the kind. */
  public Distribution {
    Checks.check(
        "fixed".equals(kind) || "uniform".equals(kind) || "lognormal".equals(kind),
        "kind must be fixed, uniform or lognormal but was " + kind);
    Checks.positive(min, "min");
    Checks.check(max >= min, "max must not be below min");
    Checks.check(!"lognormal".equals(kind) || median > 0, "median must be positive");
    Checks.check(sigma >= 0, "sigma must not be negative");
  }

  /** Returns the distribution that always has the same value. */
  public static Distribution fixed(long value) {
    return new Distribution("fixed", value, value, 0, 0);
  }

  /** Draws a value. */
  public long draw(RandomGenerator random) {
    return switch (kind) {
      case "uniform" -> random.nextLong(min, max + 1);
      case "lognormal" -> clamp(Math.round(median * Math.exp(sigma * random.nextGaussian())));
      default -> min;
    };
  }

  private long clamp(long value) {
    return Math.max(min, Math.min(max, value));
  }
}
