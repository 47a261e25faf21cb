package org.buckthornferry.duty;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import org.buckthornferry.fleet.FleetView;
import org.junit.jupiter.api.Test;

/** Tests which counts are added up and which are missing, in windows of five seconds. */
final class UsageCollectorTest {
  private static final long WINDOW_MILLIS = 5_000;
  private static final long SELF = 1;

  private final UsageCollector collector = new UsageCollector(SELF, WINDOW_MILLIS, 20_000);

  private static UsageMessage message(
      String id, long sequence, long basis, long toMillis, Map<Long, Map<String, Long>> counts) {
    return new UsageMessage(
        id, id.hashCode(), sequence, basis, 0, new UsageMessage.Span(0, toMillis), counts);
  }

  private static Map<String, InetSocketAddress> addresses(String... ids) {
    Map<String, InetSocketAddress> addresses = new HashMap<>();
    for (String id : ids) {
      addresses.put(id, InetSocketAddress.createUnresolved(id, 1));
    }
    return addresses;
  }

  private static FleetView fleet(
      Map<String, InetSocketAddress> listed, Map<String, InetSocketAddress> lapsed) {
    return new FleetView(listed, lapsed, Map.of());
  }

  /** Guards against a window that is complete although an instance has not been heard of. */
  @Test
  void anInstanceThatLostItsRegistrationAndWasNotHeardOfIsMissing() {
    collector.accept(message("a", 1, 0, 9_000, Map.of(0L, Map.of("c", 3L))), 0);
    assertThat(collector.total(0, fleet(addresses("a"), addresses("b")), 0).missingShare())
        .isEqualTo(0.5);
  }

  /** Guards against windows that are omitted because an instance of which all is known ended. */
  @Test
  void anEndedInstanceCostsAtMostOnePeriod() {
    collector.accept(message("a", 1, 0, 9_000, Map.of()), 0);
    collector.accept(message("b", 1, 0, 1_000, Map.of()), 0);
    assertThat(collector.total(0, fleet(addresses("a"), addresses("b")), 0).missingShare())
        .isEqualTo(0.1);
  }

  /** Guards against a true time taken from few clocks after the others lost the store. */
  @Test
  void takesNoTrueTimeFromAFewClocks() {
    collector.accept(message("a", 1, 0, 9_000, Map.of()), 0);
    FleetView fleet = fleet(addresses("a"), addresses("b", "c"));
    assertThat(collector.trueMillisAt(0, fleet.instanceIds()).isEmpty()).isTrue();
    collector.accept(message("b", 1, 0, 9_000, Map.of()), 0);
    assertThat(collector.trueMillisAt(0, fleet.instanceIds()).isPresent()).isTrue();
  }

  /** Guards against runs counted in two windows after the true time became more exact. */
  @Test
  void aCompleteMessageReplacesEarlierCounts() {
    FleetView fleet = fleet(addresses("a"), Map.of());
    collector.accept(message("a", 1, 0, 9_000, Map.of(0L, Map.of("c", 3L))), 0);
    collector.accept(message("a", 2, 0, 9_500, Map.of(1L, Map.of("c", 3L))), 0);
    assertThat(collector.total(0, fleet, 0).counts()).isEmpty();
    assertThat(collector.total(1, fleet, 0).counts()).containsExactly("c", 3L);
    collector.accept(message("a", 3, SELF, 9_800, Map.of(2L, Map.of("c", 1L))), 0);
    assertThat(collector.total(1, fleet, 0).counts()).containsExactly("c", 3L);
  }

  /** Guards against an unchecked exception on the event loop after a malformed message. */
  @Test
  void malformedMessagesFail() {
    byte[] nil = {(byte) 0xc0};
    assertThrows(IOException.class, () -> UsageMessage.decode(nil));
    assertThrows(IOException.class, () -> UsageMessage.decode(new byte[0]));
    assertThrows(IOException.class, () -> UsageMessage.Reply.decode(nil));
    assertThrows(IOException.class, () -> UsageMessage.decodeReport(nil));
  }
}
