package org.buckthornferry.request;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.buckthornferry.error.ErrorKind;
import org.buckthornferry.error.RequestException;

class ResponseAssemblerTest {
  private static final int EVENTS = 4;

  /**
   * Guards against a short success: parts that are late, doubled, crossed or lost never make a
   * complete response unless every event was delivered once and in order. A step below {@code
   * EVENTS} is an event, then follow the end, a crossed part, a disconnect and a resume.
   */
  @Property(tries = 5_000, seed = "11")
  void onlyWholeResponsesComplete(
      @ForAll @Size(max = 25) List<@IntRange(max = EVENTS + 3) Integer> steps,
      @ForAll @IntRange(max = EVENTS - 1) int first) {
    ResponseAssembler assembler = new ResponseAssembler("r", new StreamPosition(first));
    List<Long> delivered = new ArrayList<>();
    for (int step : steps) {
      try {
        apply(assembler, step, delivered);
      } catch (RequestException e) {
        assertThat(e.kind()).isEqualTo(ErrorKind.TRUNCATED_ANSWER);
      }
      List<Long> prefix = LongStream.range(first, first + delivered.size()).boxed().toList();
      assertThat(delivered).containsExactlyElementsIn(prefix).inOrder();
      if (assembler.isComplete()) {
        assertThat(delivered).hasSize(EVENTS - first);
      }
    }
  }

  private static void apply(ResponseAssembler assembler, int step, List<Long> delivered) {
    switch (step) {
      case EVENTS -> assembler.onEnd("r", EVENTS);
      case EVENTS + 1 -> assembler.onPart("other", assembler.position().nextOffset());
      case EVENTS + 2 -> assembler.onDisconnect();
      case EVENTS + 3 -> {
        if (!assembler.isComplete()) {
          assembler.resume();
        }
      }
      default -> {
        if (assembler.onPart("r", step) == ResponseAssembler.Action.DELIVER) {
          delivered.add((long) step);
        }
      }
    }
  }

  /** Guards against the loss of the rest of a stream whose connection broke. */
  @Example
  void brokenStreamResumesAtTheMissingEvent() {
    ResponseAssembler assembler = new ResponseAssembler("r", StreamPosition.afterLastEventId("6"));
    assembler.onPart("r", 7);
    assertThrows(RequestException.class, assembler::onDisconnect);
    assertThrows(RequestException.class, () -> assembler.onPart("r", 8));
    assembler.resume();
    assertThat(assembler.position().nextOffset()).isEqualTo(8);
    assertThat(assembler.onPart("r", 7)).isEqualTo(ResponseAssembler.Action.IGNORE);
    assertThat(assembler.onPart("r", 8)).isEqualTo(ResponseAssembler.Action.DELIVER);
    assembler.onEnd("r", 9);
    assertThat(assembler.isComplete()).isTrue();
  }

  /** Guards against a resume from a wrong event after a malformed header. */
  @Example
  void malformedLastEventIdIsRefused() {
    assertThat(StreamPosition.afterLastEventId("")).isEqualTo(StreamPosition.START);
    for (String value : List.of("-1", "x", "9223372036854775807", "1.5")) {
      RequestException refused =
          assertThrows(RequestException.class, () -> StreamPosition.afterLastEventId(value));
      assertThat(refused.kind()).isEqualTo(ErrorKind.BAD_REQUEST);
    }
  }
}
