package org.buckthornferry.peer;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.codahale.metrics.MetricRegistry;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.DecoderException;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class FrameDecoderTest {
  private static final Hello HELLO = new Hello("i1", 1, "kol-a");

  private static EmbeddedChannel channel() {
    return new EmbeddedChannel(new FrameDecoder(new PeerMetrics(new MetricRegistry())));
  }

  private static ByteBuf frame(PeerMessage message) {
    byte[] payload = PeerCodec.encode(message);
    return PeerHandler.frame(Unpooled.buffer(payload.length + 4), payload);
  }

  private static void assertRejected(EmbeddedChannel channel, ByteBuf bytes, String reason) {
    DecoderException rejection =
        assertThrows(DecoderException.class, () -> channel.writeInbound(bytes));
    assertThat(rejection).hasCauseThat().isInstanceOf(PeerProtocolException.class);
    assertThat(rejection).hasCauseThat().hasMessageThat().contains(reason);
  }

  /** Guards against buffering large frames from an unauthenticated sender. */
  @Example
  void firstFrameIsLimitedToTheSizeOfHello() {
    assertRejected(channel(), Unpooled.buffer().writeInt(1_025), "1025 bytes");
  }

  /** Guards the limits of 1 MiB, and 2 MiB for a configuration reply, before the body arrives. */
  @Example
  void laterFramesAreLimitedByType() {
    EmbeddedChannel channel = channel();
    channel.writeInbound(frame(HELLO));
    int tooLarge = PeerCodec.MAX_FRAME_BYTES + 1;
    assertRejected(
        channel, Unpooled.buffer().writeInt(tooLarge).writeByte(1).writeByte(2), "HEARTBEAT");
    EmbeddedChannel other = channel();
    other.writeInbound(frame(HELLO));
    assertThat(other.writeInbound(Unpooled.buffer().writeInt(tooLarge).writeByte(1).writeByte(5)))
        .isTrue();
    EmbeddedChannel third = channel();
    third.writeInbound(frame(HELLO));
    assertRejected(
        third, Unpooled.buffer().writeInt(PeerCodec.MAX_CONFIG_FRAME_BYTES + 1), "2097153 bytes");
  }

  /** Guards against frames with an unknown type or protocol version. */
  @Example
  void unknownTypeAndVersionAreRejected() {
    assertRejected(
        channel(),
        Unpooled.buffer().writeInt(2).writeByte(1).writeByte(63),
        "unknown message type 63");
    assertRejected(
        channel(),
        Unpooled.buffer().writeInt(2).writeByte(9).writeByte(1),
        "unsupported protocol version 9");
  }

  /** Guards decoding when TCP splits frames at arbitrary positions. */
  @Property(tries = 200, seed = "1")
  void framesSplitAtAnyPositionAreDecoded(@ForAll long seed) {
    Random random = new Random(seed);
    EmbeddedChannel channel = channel();
    ByteBuf all = Unpooled.buffer().writeBytes(frame(HELLO));
    for (PeerMessage message : PeerCodecTest.messages(random)) {
      all.writeBytes(frame(message));
    }
    while (all.isReadable()) {
      channel.writeInbound(all.readBytes(1 + random.nextInt(all.readableBytes())));
    }
    assertThat(channel.inboundMessages()).hasSize(6);
  }

  /** Guards against any exception other than a protocol error on arbitrary bytes. */
  @Property(tries = 3_000, seed = "2")
  void arbitraryBytesAreRejectedOrBuffered(@ForAll byte[] bytes) {
    EmbeddedChannel channel = channel();
    channel.writeInbound(frame(HELLO));
    try {
      channel.writeInbound(Unpooled.wrappedBuffer(bytes));
    } catch (DecoderException e) {
      assertThat(e).hasCauseThat().isInstanceOf(PeerProtocolException.class);
    }
  }
}
