package org.buckthornferry.node;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class EventStreamInspectorTest {
  private static byte[] stream(int tokens, int skipped, boolean done) {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < tokens; i++) {
      if (i != skipped) {
        text.append("event: token\r\nid: ").append(i).append("\r\ndata: word\r\n\r\n");
      }
    }
    if (done) {
      text.append("event: done\ndata: {}\n\n");
    }
    return text.toString().getBytes(StandardCharsets.UTF_8);
  }

  private static EventStreamInspector inspect(byte[] stream, int partBytes) {
    EventStreamInspector inspector = new EventStreamInspector(0);
    for (int at = 0; at < stream.length; at += partBytes) {
      inspector.accept(Arrays.copyOfRange(stream, at, Math.min(stream.length, at + partBytes)));
    }
    return inspector;
  }

  /** Guards against a complete stream reported as truncated because of its chunk boundaries. */
  @Property(seed = "1", tries = 200)
  void wholeStreamIsCompleteHoweverItIsSplit(
      @ForAll @IntRange(max = 50) int tokens, @ForAll @IntRange(min = 1, max = 64) int partBytes) {
    EventStreamInspector inspector = inspect(stream(tokens, -1, true), partBytes);
    assertThat(inspector.isComplete()).isTrue();
    assertThat(inspector.tokens()).isEqualTo(tokens);
  }

  /** Guards against a truncated stream reported as complete. */
  @Property(seed = "1", tries = 200)
  void streamCutAnywhereIsIncomplete(
      @ForAll @IntRange(max = 50) int tokens, @ForAll @IntRange(max = 10_000) int cut) {
    byte[] whole = stream(tokens, -1, true);
    byte[] part = Arrays.copyOf(whole, cut % whole.length);
    assertThat(inspect(part, 16).isComplete()).isFalse();
  }

  /** Guards against an undetected missing token in the middle of a stream. */
  @Property(seed = "1", tries = 200)
  void streamWithAGapIsIncomplete(
      @ForAll @IntRange(min = 2, max = 50) int tokens, @ForAll @IntRange(max = 49) int skipped) {
    assertThat(inspect(stream(tokens, skipped % (tokens - 1), true), 16).isComplete()).isFalse();
  }
}
