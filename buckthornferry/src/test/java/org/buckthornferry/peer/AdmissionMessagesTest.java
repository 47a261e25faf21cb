package org.buckthornferry.peer;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.buckthornferry.admission.ShedLevel;
import org.buckthornferry.endpoint.EndpointState;
import org.junit.jupiter.api.Test;

class AdmissionMessagesTest {
  private static final List<PeerMessage> MESSAGES =
      List.of(
          new ShedProposal(
              "model", ShedLevel.BULK, 3, 4, true, 5, 6, ShedLevel.CRITICAL, List.of("a", "b")),
          new ShedAck("model", ShedLevel.STANDARD, 3, 4, 5, List.of("a")),
          new ShedLevelReduction("model", ShedLevel.NONE, 3, 4),
          new QuarantineNotice(QuarantineNotice.Kind.ISOLATE, "hash", "e1", 10_000, 2, 7),
          new EndpointStateNotice("e1", EndpointState.WARMING, 4, 2, 9));

  /** Guards against fields that are lost or swapped by encoding and decoding. */
  @Test
  void messagesRoundTrip() {
    for (PeerMessage message : MESSAGES) {
      assertThat(PeerCodec.decode(PeerCodec.encode(message))).isEqualTo(message);
    }
  }

  /** Guards against a corrupt payload that fails with another exception than the protocol's. */
  @Property(seed = "61", tries = 500)
  void corruptPayloadIsDecodedOrRejected(
      @ForAll @IntRange(min = 0, max = 4) int index,
      @ForAll @IntRange(min = 2, max = 60) int position,
      @ForAll byte value) {
    byte[] payload = PeerCodec.encode(MESSAGES.get(index));
    payload[position % payload.length] = value;
    try {
      assertThat(PeerCodec.decode(payload)).isNotNull();
    } catch (PeerProtocolException e) {
      assertThat(e).hasMessageThat().isNotEmpty();
    }
  }

  /** Guards against unbounded memory allocation caused by a peer. */
  @Test
  void oversizedIdentifiersAndListsAreRejected() {
    byte[] payload =
        PeerCodec.encode(
            new ShedLevelReduction(
                "m".repeat(IdentifierCodec.MAX_ID_CHARS + 1), ShedLevel.NONE, 1, 1));
    assertThrows(PeerProtocolException.class, () -> PeerCodec.decode(payload));
    List<String> many = java.util.Collections.nCopies(IdentifierCodec.MAX_IDS + 1, "a");
    byte[] list = PeerCodec.encode(new ShedAck("m", ShedLevel.NONE, 1, 1, 1, many));
    assertThrows(PeerProtocolException.class, () -> PeerCodec.decode(list));
  }
}
