package org.buckthornferry.peer;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.StringLength;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

class GrantMessagesTest {
  /** Guards against fields that are lost or swapped by encoding and decoding. */
  @Property(seed = "1", tries = 200)
  void messagesRoundTrip(
      @ForAll @StringLength(min = 1, max = 128) String id,
      @ForAll @LongRange(min = 1) long number,
      @ForAll @IntRange(max = 1_023) int shard,
      @ForAll @LongRange(min = 0) long amount,
      @ForAll boolean flag) {
    Amounts amounts = new Amounts(shard, amount, Amounts.UNLIMITED);
    HolderReport report =
        new HolderReport(
            number,
            amount,
            number,
            shard,
            List.of(new HolderReport.Shard(shard, number, flag)),
            List.of(new HolderReport.Entry(id, amount, amounts, Amounts.ZERO, amounts)),
            List.of(new HolderReport.Answer(id, amount)));
    assertRoundTrips(new GrantRequest(report));
    assertRoundTrips(new GrantAck(report));
    assertRoundTrips(
        new Grant(
            number,
            amount,
            shard,
            List.of(new Grant.Shard(shard, number)),
            List.of(new Grant.Entry(id, number, amounts, Amounts.ONE_REQUEST, flag, !flag)),
            List.of(new Grant.Probe(id, amount))));
    ShardOwners.Shard owned = new ShardOwners.Shard(1, shard, number);
    assertRoundTrips(new ShardOwners(number, List.of(owned), List.of(owned, owned)));
  }

  /** Guards against unbounded memory allocation caused by an element count in a frame. */
  @Example
  void hugeCountsAreRejected() throws IOException {
    for (MessageType type : List.of(MessageType.GRANT, MessageType.SHARD_OWNERS)) {
      try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
        packer.packInt(PeerCodec.PROTOCOL_VERSION).packInt(type.code()).packLong(1);
        if (type == MessageType.GRANT) {
          packer.packLong(1).packLong(1);
        }
        packer.packArrayHeader(1_000_000);
        byte[] payload = packer.toByteArray();
        assertThrows(PeerProtocolException.class, () -> PeerCodec.decode(payload));
      }
    }
  }

  private static void assertRoundTrips(PeerMessage message) {
    assertThat(PeerCodec.decode(PeerCodec.encode(message))).isEqualTo(message);
  }
}
