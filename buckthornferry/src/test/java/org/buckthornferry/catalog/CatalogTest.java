package org.buckthornferry.catalog;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.buckthornferry.http.HttpLimits;
import org.junit.jupiter.api.Test;

final class CatalogTest {
  private final Catalog catalog =
      new Catalog(
          3,
          List.of(route("short", "/a/"), route("long", "/a/b/"), route("root", "/")),
          List.of(),
          List.of(new Customer("c", List.of("k1", "k2"), 0, Customer.RateLimit.UNLIMITED)),
          HttpLimits.INTERNAL);

  @Test
  void choosesTheLongestPrefixThatEndsAtASlash() {
    assertThat(name("h.example", "/a/b/c")).isEqualTo("long");
    assertThat(name("h.example", "/a/bc")).isEqualTo("short");
    assertThat(name("h.example", "/x")).isEqualTo("root");
  }

  @Test
  void matchesHostsWithoutPortAndCase() {
    assertThat(name("H.Example:8080", "/a/")).isEqualTo("short");
    assertThat(catalog.route("other.example", "/a/")).isEmpty();
  }

  @Test
  void findsACustomerByAnyOfItsKeys() {
    assertThat(catalog.customerWithKey("k2").orElseThrow().name()).isEqualTo("c");
    assertThat(catalog.customerWithKey("k3")).isEmpty();
  }

  @Test
  void dividesTheRequestsOfARouteByWeight() {
    Route split =
        new Route(
            "r",
            "h",
            "/",
            RouteKind.IDEMPOTENT,
            List.of(new Route.WeightedService("a", 90), new Route.WeightedService("b", 10)),
            1_000,
            100,
            0,
            2,
            0,
            false,
            false,
            List.of());
    assertThat(split.chooseService(0.0)).isEqualTo("a");
    assertThat(split.chooseService(0.89)).isEqualTo("a");
    assertThat(split.chooseService(0.91)).isEqualTo("b");
  }

  @Test
  void onlyIdempotentAndResumableRequestsAreRetryable() {
    assertThat(RouteKind.IDEMPOTENT.isRetryable(false)).isTrue();
    assertThat(RouteKind.NON_IDEMPOTENT.isRetryable(true)).isFalse();
    assertThat(RouteKind.STREAMING.isRetryable(false)).isFalse();
    assertThat(RouteKind.STREAMING.isRetryable(true)).isTrue();
  }

  private String name(String host, String path) {
    return catalog.route(host, path).orElseThrow().name();
  }

  private static Route route(String name, String prefix) {
    return new Route(
        name,
        "h.example",
        prefix,
        RouteKind.IDEMPOTENT,
        List.of(new Route.WeightedService("s", 1)),
        1_000,
        100,
        0,
        2,
        0,
        false,
        false,
        List.of());
  }
}
