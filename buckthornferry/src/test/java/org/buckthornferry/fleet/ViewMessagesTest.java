package org.buckthornferry.fleet;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.buckthornferry.store.StoreItem;
import org.junit.jupiter.api.Test;

final class ViewMessagesTest {
  @Test
  void decodesWhatItEncoded() throws IOException {
    assertThat(ViewMessages.decodeRequest(ViewMessages.encodeRequest(5))).isEqualTo(5);
    ViewMessages.Snapshot snapshot =
        new ViewMessages.Snapshot(9, List.of(new StoreItem("a/1", new byte[] {1, 2, 3}, 7)));
    ViewMessages.Snapshot decoded =
        ViewMessages.decodeReply(ViewMessages.encodeReply(Optional.of(snapshot))).orElseThrow();
    assertThat(decoded.revision()).isEqualTo(9);
    assertThat(decoded.items()).hasSize(1);
    assertThat(decoded.items().get(0).key()).isEqualTo("a/1");
    assertThat(decoded.items().get(0).value()).isEqualTo(new byte[] {1, 2, 3});
  }

  @Test
  void decodesAReplyWithoutANewerSnapshot() throws IOException {
    assertThat(ViewMessages.decodeReply(ViewMessages.encodeReply(Optional.empty()))).isEmpty();
  }

  @Test
  void rejectsATruncatedMessage() {
    byte[] whole =
        ViewMessages.encodeReply(
            Optional.of(
                new ViewMessages.Snapshot(9, List.of(new StoreItem("a/1", new byte[9], 7)))));
    byte[] truncated = java.util.Arrays.copyOf(whole, whole.length - 4);
    assertThrows(Exception.class, () -> ViewMessages.decodeReply(truncated));
  }
}
