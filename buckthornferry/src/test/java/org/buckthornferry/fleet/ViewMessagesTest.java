package org.buckthornferry.fleet;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.buckthornferry.store.StoreItem;
import org.buckthornferry.store.StorePosition;
import org.junit.jupiter.api.Test;

final class ViewMessagesTest {
  private static final StoreItem ITEM =
      StoreItem.stored("a/1", new byte[] {1, 2, 3}, new StorePosition(2, 7));

  @Test
  void decodesWhatItEncoded() throws IOException {
    StorePosition position = new StorePosition(2, 9);
    assertThat(ViewMessages.decodeRequest(ViewMessages.encodeRequest(position)))
        .isEqualTo(position);
    StoreItem kept = new StoreItem("b/1", new byte[] {4}, new StorePosition(1, 12), 0, false);
    ViewMessages.Snapshot snapshot =
        new ViewMessages.Snapshot(position, true, List.of(ITEM), List.of(kept));
    ViewMessages.Snapshot decoded =
        ViewMessages.decodeReply(ViewMessages.encodeReply(Optional.of(snapshot))).orElseThrow();
    assertThat(decoded.position()).isEqualTo(position);
    assertThat(decoded.isWhole()).isTrue();
    assertThat(decoded.items()).hasSize(1);
    assertThat(decoded.items().get(0).key()).isEqualTo("a/1");
    assertThat(decoded.items().get(0).since()).isEqualTo(ITEM.since());
    assertThat(decoded.items().get(0).value()).isEqualTo(new byte[] {1, 2, 3});
    assertThat(decoded.kept()).hasSize(1);
    assertThat(decoded.kept().get(0).isLost()).isTrue();
    assertThat(decoded.kept().get(0).since()).isEqualTo(kept.since());
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
                new ViewMessages.Snapshot(
                    new StorePosition(2, 9), true, List.of(ITEM), List.of())));
    byte[] truncated = java.util.Arrays.copyOf(whole, whole.length - 4);
    assertThrows(Exception.class, () -> ViewMessages.decodeReply(truncated));
  }
}
