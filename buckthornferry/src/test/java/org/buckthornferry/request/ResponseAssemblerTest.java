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
   * Guards against a truncated response reported as complete: despite delayed, duplicate, misrouted
   * or lost events, a response completes only after every event was delivered once and in order. A
   * step below {@code EVENTS} is an event; the next values are the end, an event of another
   * request, a disconnect and a resume.
   */
  @Property(tries = 5_000, seed = "11")
  void responseCompletesOnlyAfterAllEventsInOrder(
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

  /** Guards against losing the remaining events of a stream after a broken connection. */
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

  /** Guards against resuming from the wrong event because of a malformed header. */
  @Example
  void malformedLastEventIdIsRejected() {
    assertThat(StreamPosition.afterLastEventId("")).isEqualTo(StreamPosition.START);
    for (String value : List.of("-1", "x", "9223372036854775807", "1.5")) {
      RequestException refused =
          assertThrows(RequestException.class, () -> StreamPosition.afterLastEventId(value));
      assertThat(refused.kind()).isEqualTo(ErrorKind.BAD_REQUEST);
    }
  }
}
