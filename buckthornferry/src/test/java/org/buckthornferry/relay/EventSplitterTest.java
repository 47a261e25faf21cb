package org.buckthornferry.relay;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests event framing, event ids and comment detection of {@code text/event-stream} bodies. */
final class EventSplitterTest {
  private final EventSplitter splitter = new EventSplitter();
  private final List<String> events = new ArrayList<>();

  @Test
  void emitsCompleteEventsWithTheirBlankLine() {
    accept("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    assertThat(events).containsExactly("id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n").inOrder();
    assertThat(splitter.hasPartialEvent()).isFalse();
  }

  @Test
  void buffersAnIncompleteEvent() {
    accept("id: 1\ndata: a\n\nid: 2\nda");
    assertThat(events).hasSize(1);
    assertThat(splitter.hasPartialEvent()).isTrue();
  }

  @Test
  void acceptsCarriageReturnLineFeed() {
    accept("id: 1\r\ndata: a\r\n\r\nid: 2\r\n\r\n");
    assertThat(events).hasSize(2);
  }

  @Test
  void findsTheSameEventsForAnyChunkBoundaries() {
    String stream = "id: 1\ndata: a\n\nid: 2\r\ndata: bb\r\n\r\n\nid: 3\ndata: ccc\n\n";
    accept(stream);
    List<String> whole = List.copyOf(events);
    for (int seed = 1; seed <= 200; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      EventSplitter cut = new EventSplitter();
      List<String> found = new ArrayList<>();
      int from = 0;
      while (from < stream.length()) {
        int to = Math.min(stream.length(), from + 1 + random.nextInt(9));
        cut.accept(bytes(stream.substring(from, to)), event -> found.add(text(event)));
        from = to;
      }
      assertThat(found).isEqualTo(whole);
      assertThat(cut.hasPartialEvent()).isFalse();
    }
  }

  @Test
  void parsesAndComparesEventIds() {
    assertThat(EventId.of(bytes("id: 12\ndata: x\n\n"))).hasValue("12");
    assertThat(EventId.of(bytes("data: x\n\n"))).isEmpty();
    assertThat(EventId.isAfter("10", "9")).isTrue();
    assertThat(EventId.isAfter("9", "9")).isFalse();
  }

  private void accept(String part) {
    splitter.accept(bytes(part), event -> events.add(text(event)));
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private static String text(byte[] bytes) {
    return new String(bytes, StandardCharsets.UTF_8);
  }

  @Test
  void distinguishesCommentsFromEvents() {
    assertThat(EventSplitter.isCommentOnly(bytes(": still here\n\n"))).isTrue();
    assertThat(EventSplitter.isCommentOnly(bytes("\r\n"))).isTrue();
    assertThat(EventSplitter.isCommentOnly(bytes(": a\r\n: b\r\n\r\n"))).isTrue();
    assertThat(EventSplitter.isCommentOnly(bytes(": a\ndata: x\n\n"))).isFalse();
    assertThat(EventSplitter.isCommentOnly(bytes("id: 1\n\n"))).isFalse();
  }
}
