package org.buckthornferry.fleet;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import org.buckthornferry.store.StoreItem;
import org.junit.jupiter.api.Test;

final class ViewMessagesTest {
  @Test
  void readsWhatItWrote() throws IOException {
    Map<String, Long> revisions = Map.of("a/", 5L);
    assertThat(ViewMessages.decodeRequest(ViewMessages.encodeRequest(revisions)))
        .isEqualTo(revisions);
    List<ViewMessages.Copy> copies =
        List.of(
            new ViewMessages.Copy("a/", 9, List.of(new StoreItem("a/1", new byte[] {1, 2, 3}, 7))));
    List<ViewMessages.Copy> read = ViewMessages.decodeReply(ViewMessages.encodeReply(copies));
    assertThat(read).hasSize(1);
    assertThat(read.get(0).revision()).isEqualTo(9);
    assertThat(read.get(0).items().get(0).key()).isEqualTo("a/1");
    assertThat(read.get(0).items().get(0).value()).isEqualTo(new byte[] {1, 2, 3});
  }

  @Test
  void rejectsAMessageThatEndsEarly() {
    byte[] whole =
        ViewMessages.encodeReply(
            List.of(new ViewMessages.Copy("a/", 9, List.of(new StoreItem("a/1", new byte[9], 7)))));
    byte[] cut = java.util.Arrays.copyOf(whole, whole.length - 4);
    assertThrows(Exception.class, () -> ViewMessages.decodeReply(cut));
  }
}
