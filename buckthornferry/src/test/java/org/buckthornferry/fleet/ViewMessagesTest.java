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
  void readsWhatItWrote() throws IOException {
    assertThat(ViewMessages.decodeRequest(ViewMessages.encodeRequest(5))).isEqualTo(5);
    ViewMessages.Snapshot copy =
        new ViewMessages.Snapshot(9, List.of(new StoreItem("a/1", new byte[] {1, 2, 3}, 7)));
    ViewMessages.Snapshot read =
        ViewMessages.decodeReply(ViewMessages.encodeReply(Optional.of(copy))).orElseThrow();
    assertThat(read.revision()).isEqualTo(9);
    assertThat(read.items()).hasSize(1);
    assertThat(read.items().get(0).key()).isEqualTo("a/1");
    assertThat(read.items().get(0).value()).isEqualTo(new byte[] {1, 2, 3});
  }

  @Test
  void saysThatThereIsNothingNewer() throws IOException {
    assertThat(ViewMessages.decodeReply(ViewMessages.encodeReply(Optional.empty()))).isEmpty();
  }

  @Test
  void rejectsAMessageThatEndsEarly() {
    byte[] whole =
        ViewMessages.encodeReply(
            Optional.of(
                new ViewMessages.Snapshot(9, List.of(new StoreItem("a/1", new byte[9], 7)))));
    byte[] cut = java.util.Arrays.copyOf(whole, whole.length - 4);
    assertThrows(Exception.class, () -> ViewMessages.decodeReply(cut));
  }
}
