package org.buckthornferry.peer;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.buckthornferry.membership.MemberState;

class PeerCodecTest {
  private static MemberEntry entry(Random random) {
    return new MemberEntry(
        "i" + random.nextInt(),
        "10.0.0.1:" + random.nextInt(65_536),
        "kol-ä",
        "kol",
        random.nextLong(1L << 50),
        random.nextLong(1L << 50),
        List.of(MemberState.values()).get(random.nextInt(4)),
        random.nextBoolean(),
        random.nextInt(MemberEntry.MAX_AGE_MILLIS + 1));
  }

  private static RegionSummary summary(Random random) {
    return new RegionSummary(
        "kol", "i1", random.nextLong(1L << 50), random.nextInt(1 << 30), 7, random.nextInt(99));
  }

  private static Heartbeat heartbeat(Random random) {
    List<MemberEntry> entries = new ArrayList<>();
    List<RegionSummary> regions = new ArrayList<>();
    List<StoreObservation> flags = new ArrayList<>();
    for (int i = random.nextInt(Heartbeat.MAX_ENTRIES + 1); i > 0; i--) {
      entries.add(entry(random));
      regions.add(summary(random));
      flags.add(
          new StoreObservation(random.nextInt(), random.nextBoolean(), random.nextInt(60_000)));
    }
    return new Heartbeat(
        random.nextLong(1L << 50),
        random.nextLong(1L << 50),
        random.nextLong(1L << 50),
        random.nextBoolean(),
        random.nextBoolean(),
        random.nextInt(1 << 16),
        random.nextLong(1L << 50),
        random.nextLong(),
        random.nextInt(),
        entries,
        regions,
        flags);
  }

  static List<PeerMessage> messages(Random random) {
    byte[] body = new byte[random.nextInt(1_000)];
    random.nextBytes(body);
    return List.of(
        new Hello("i1", random.nextLong(1L << 50), "kol-a"),
        heartbeat(random),
        new MemberUpdate(List.of(entry(random)), List.of(summary(random))),
        new ConfigRequest(
            random.nextLong(1L << 50), random.nextLong(), random.nextBoolean(), random.nextLong()),
        new ConfigReply(
            random.nextLong(1L << 50),
            random.nextLong(),
            random.nextBoolean(),
            random.nextLong(),
            body));
  }

  /** Guards against an encoder and its decoder that disagree. */
  @Property(tries = 500, seed = "1")
  void messagesRoundTrip(@ForAll long seed) {
    for (PeerMessage message : messages(new Random(seed))) {
      assertThat(PeerCodec.decode(PeerCodec.encode(message))).isEqualTo(message);
    }
  }

  /** Guards against any exception other than a protocol error on corrupt or truncated payloads. */
  @Property(tries = 5_000, seed = "2")
  void corruptPayloadIsDecodedOrRejected(@ForAll long seed) {
    Random random = new Random(seed);
    List<PeerMessage> messages = messages(random);
    byte[] payload = PeerCodec.encode(messages.get(random.nextInt(messages.size())));
    for (int i = random.nextInt(4); i >= 0; i--) {
      payload[random.nextInt(payload.length)] = (byte) random.nextInt();
    }
    byte[] truncated =
        random.nextBoolean()
            ? payload
            : java.util.Arrays.copyOf(payload, random.nextInt(payload.length + 1));
    try {
      assertThat(PeerCodec.decode(truncated)).isNotNull();
    } catch (PeerProtocolException e) {
      assertThat(e).hasMessageThat().isNotEmpty();
    }
  }

  /** Guards against allocation by a declared size that exceeds the frame. */
  @Example
  void declaredSizesAboveTheLimitsAreRejected() {
    byte[] hugeList = {1, 3, (byte) 0xDD, 0x7F, -1, -1, -1};
    byte[] hugeName = {1, 1, (byte) 0xDB, 0x7F, -1, -1, -1};
    byte[] hugeBody = {1, 5, 1, 1, (byte) 0xC3, 1, (byte) 0xC6, 0x7F, -1, -1, -1};
    for (byte[] payload : List.of(hugeList, hugeName, hugeBody)) {
      PeerProtocolException rejection =
          assertThrows(PeerProtocolException.class, () -> PeerCodec.decode(payload));
      assertThat(rejection).hasMessageThat().contains("of size 2147483647 is above");
    }
  }
}
