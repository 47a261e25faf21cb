package org.buckthornferry.peer;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Arrays;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.constraints.StringLength;

class ClaimMessagesTest {
  /** Guards against fields that are lost or swapped by encoding and decoding. */
  @Property(tries = 300, seed = "12")
  void messagesRoundTrip(
      @ForAll @StringLength(min = 1, max = 40) String key,
      @ForAll long high,
      @ForAll long number,
      @ForAll boolean flag,
      @ForAll @Size(max = 200) byte[] body,
      @ForAll ClaimUpdate.Kind updateKind,
      @ForAll ClaimReply.Kind replyKind,
      @ForAll ClaimBackup.Kind backupKind) {
    ClaimFields fields = new ClaimFields("customer", key, high, ~high, flag, "i", 7, number);
    ClaimResponse response = new ClaimResponse(200, "text/plain", body);
    ClaimCopy copy = new ClaimCopy(3, 4, number, fields, 2, "e", response);
    for (PeerMessage message :
        List.of(
            new ClaimRequest(fields),
            new ClaimReply(7, number, replyKind, "i", "e", flag, response, 5),
            new ClaimUpdate(fields, updateKind, "e", response),
            new ClaimBackup(backupKind, number, 1, 2, List.of(1, 2), List.of(copy)))) {
      assertThat(PeerCodec.decode(PeerCodec.encode(message))).isEqualTo(message);
    }
  }

  /** Guards against unbounded memory allocation caused by a peer. */
  @Example
  void oversizedFieldsAreRejected() {
    ClaimFields fields = new ClaimFields("c", "k".repeat(513), 0, 0, true, "i", 1, 1);
    assertThrows(
        PeerProtocolException.class,
        () -> PeerCodec.decode(PeerCodec.encode(new ClaimRequest(fields))));
  }

  /** Guards against an exception other than the protocol exception that closes the connection. */
  @Property(tries = 2_000, seed = "13")
  void corruptPayloadsAreDecodedOrRejected(@ForAll int position, @ForAll byte value) {
    ClaimFields fields = new ClaimFields("c", "k", 1, 2, true, "i", 1, 1);
    ClaimCopy copy = new ClaimCopy(1, 1, 1, fields, 1, "e", ClaimResponse.NONE);
    byte[] damaged =
        PeerCodec.encode(
            new ClaimBackup(ClaimBackup.Kind.STORE, 1, 0, 1, List.of(1), List.of(copy)));
    damaged[Math.floorMod(position, damaged.length)] = value;
    byte[] truncated = Arrays.copyOf(damaged, Math.floorMod(position, damaged.length));
    for (byte[] payload : List.of(damaged, truncated)) {
      try {
        assertThat(PeerCodec.decode(payload)).isNotNull();
      } catch (PeerProtocolException e) {
        assertThat(e).hasMessageThat().isNotEmpty();
      }
    }
  }
}
