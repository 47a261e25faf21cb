package org.buckthornferry.load;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.buckthornferry.standin.PromptText;
import org.junit.jupiter.api.Test;

class StreamCheckTest {
  private static final String HASH = PromptText.hash("mine");

  private final StreamCheck check = new StreamCheck(HASH, 5, gap -> {});

  /** Guards against false alarms when a stream is cut anywhere and resumed at its next offset. */
  @Property(seed = "1", tries = 100)
  void resumedStreamIsComplete(
      @ForAll @IntRange(max = 5) int received, @ForAll @IntRange(min = 1, max = 50) int partBytes) {
    StreamCheck resumed = new StreamCheck(HASH, 5, gap -> {});
    resumed.begin("r1");
    feed(resumed, tokens(HASH, 0, received) + "event: tok", partBytes);
    resumed.begin("r1");
    feed(resumed, tokens(HASH, received, 5) + done("r1", HASH, 5), partBytes);
    assertThat(resumed.end()).isTrue();
    assertThat(resumed.mismatches()).isEmpty();
  }

  /** Guards against a truncated stream that passes as a success. */
  @Test
  void streamWithoutDoneIsWrong() {
    check.begin("");
    feed(check, tokens(HASH, 0, 5), 100);
    assertThat(check.end()).isFalse();
    assertThat(check.mismatches()).hasSize(1);
  }

  /** Guards against a missed gap. */
  @Test
  void gapIsWrong() {
    check.begin("");
    feed(check, tokens(HASH, 0, 2) + tokens(HASH, 3, 5) + done("r1", HASH, 5), 100);
    assertThat(check.end()).isFalse();
  }

  /** Guards against a resumed stream that skips tokens. */
  @Test
  void resumeBeyondTheNextOffsetIsWrong() {
    check.begin("");
    feed(check, tokens(HASH, 0, 2), 100);
    check.begin("");
    feed(check, tokens(HASH, 3, 5) + done("r1", HASH, 5), 100);
    assertThat(check.end()).isFalse();
  }

  /** Guards against a response of another request that has the right form. */
  @Test
  void tokensOfAnotherPromptAreWrong() {
    String other = PromptText.hash("yours");
    check.begin("");
    feed(check, tokens(other, 0, 5) + done("r1", other, 5), 100);
    assertThat(check.end()).isFalse();
  }

  /** Guards against a response whose header names another request. */
  @Test
  void otherRequestIdIsWrong() {
    check.begin("r2");
    feed(check, tokens(HASH, 0, 5) + done("r1", HASH, 5), 100);
    assertThat(check.end()).isFalse();
  }

  private static String tokens(String hash, int from, int to) {
    StringBuilder text = new StringBuilder();
    for (int offset = from; offset < to; offset++) {
      text.append("event: token\nid: ").append(offset).append("\ndata: ");
      text.append(PromptText.token(hash, offset)).append("\n\n");
    }
    return text.toString();
  }

  private static String done(String requestId, String hash, int tokens) {
    return "event: done\ndata: {\"tokens\":%d,\"requestId\":\"%s\",\"promptHash\":\"%s\"}\n\n"
        .formatted(tokens, requestId, hash);
  }

  private static void feed(StreamCheck check, String text, int partBytes) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    for (int from = 0; from < bytes.length; from += partBytes) {
      int to = Math.min(bytes.length, from + partBytes);
      check.onBody(java.util.Arrays.copyOfRange(bytes, from, to), 1);
    }
  }
}
