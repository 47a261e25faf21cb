package org.buckthornferry.fleetqueue;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.buckthornferry.dispatch.AttemptOutcome;
import org.buckthornferry.dispatch.Priority;
import org.buckthornferry.dispatch.PromptPrefix;
import org.buckthornferry.dispatch.RequestSize;
import org.buckthornferry.error.ErrorKind;
import org.junit.jupiter.api.Test;

/** Guards the codec against loss of fields, large messages and malformed input. */
final class QueueMessagesTest {
  private static final int MAX_TICKET_BYTES = 100;

  private static final QueueMessages.Request REQUEST =
      new QueueMessages.Request(
          "i7",
          Long.MIN_VALUE,
          "huvo11a",
          true,
          List.of(ticket(4_711, new PromptPrefix("part-0042", "part-1377", 900))),
          List.of(12L, 13L),
          List.of(
              new EndedRun("e1", 5, AttemptOutcome.FULL, Optional.empty()),
              new EndedRun(
                  "e2",
                  0,
                  AttemptOutcome.COMPLETED,
                  Optional.of(new EndedRun.Timing(120.5, 70, 2_000, 64)))),
          Optional.of(Map.of("e1", 2, "e2", 4)));

  private static final QueueMessages.Push PUSH =
      new QueueMessages.Push(
          "i3",
          -9,
          "huvo11a",
          List.of(
              Decision.grant(8, "e5"),
              Decision.refusal(9, ErrorKind.DEADLINE_UNREACHABLE, "no free slot", 700)));

  @Test
  void messagesKeepAllFields() throws IOException {
    assertThat(QueueMessages.decodeRequest(QueueMessages.encodeRequest(REQUEST)))
        .isEqualTo(REQUEST);
    assertThat(QueueMessages.decodePush(QueueMessages.encodePush(PUSH))).isEqualTo(PUSH);
    QueueMessages.Reply reply = new QueueMessages.Reply(77, PUSH.decisions(), 3);
    assertThat(QueueMessages.decodeReply(QueueMessages.encodeReply(reply))).isEqualTo(reply);
  }

  /** Links have 7 Mbit/s; larger tickets would take a share of it that callers need. */
  @Test
  void ticketsStaySmall() {
    List<Ticket> tickets =
        Collections.nCopies(50, ticket(1_234_567, new PromptPrefix("part-0042", "part-1377", 900)));
    assertThat(QueueMessages.encodeRequest(withTickets(tickets)).length)
        .isAtMost(50 * MAX_TICKET_BYTES);
  }

  /** A caller chooses the ids; one beyond the codec's limit must not fail the whole call. */
  @Test
  void leavesOutPrefixIdsThatAreTooLong() throws IOException {
    Ticket ticket = ticket(1, new PromptPrefix("x".repeat(5_000), "y", 900));
    byte[] message = QueueMessages.encodeRequest(withTickets(List.of(ticket)));
    assertThat(QueueMessages.decodeRequest(message).tickets().get(0).promptPrefix())
        .isEqualTo(PromptPrefix.NONE);
  }

  @Test
  void malformedMessagesFailWithAnIoException() {
    for (byte[] message :
        List.of(QueueMessages.encodeRequest(REQUEST), QueueMessages.encodePush(PUSH))) {
      for (int length = 0; length < message.length; length++) {
        byte[] part = Arrays.copyOf(message, length);
        assertThrows(IOException.class, () -> QueueMessages.decodeRequest(part));
        assertThrows(IOException.class, () -> QueueMessages.decodePush(part));
      }
    }
    byte[] otherVersion = QueueMessages.encodeRequest(REQUEST);
    otherVersion[0]++;
    assertThrows(IOException.class, () -> QueueMessages.decodeRequest(otherVersion));
    Ticket[] tooMany = new Ticket[QueueMessages.MAX_ELEMENTS + 1];
    Arrays.fill(tooMany, ticket(1, PromptPrefix.NONE));
    byte[] large = QueueMessages.encodeRequest(withTickets(Arrays.asList(tooMany)));
    assertThrows(IOException.class, () -> QueueMessages.decodeRequest(large));
  }

  /** Changed bytes may decode to another message, but must not fail with another exception. */
  @Test
  void changedBytesFailWithAnIoExceptionOrDecode() {
    byte[] message = QueueMessages.encodeRequest(REQUEST);
    SplittableRandom random = new SplittableRandom(11);
    int failed = 0;
    for (int i = 0; i < 20_000; i++) {
      byte[] changed = message.clone();
      changed[random.nextInt(changed.length)] = (byte) random.nextInt();
      changed[random.nextInt(changed.length)] = (byte) random.nextInt();
      try {
        assertThat(QueueMessages.decodeRequest(changed)).isNotNull();
      } catch (IOException e) {
        failed++;
      }
    }
    assertThat(failed).isGreaterThan(1_000);
  }

  private static QueueMessages.Request withTickets(List<Ticket> tickets) {
    return new QueueMessages.Request(
        "i7", 1, "huvo11a", false, tickets, List.of(), List.of(), Optional.empty());
  }

  private static Ticket ticket(long number, PromptPrefix prefix) {
    return new Ticket(
        number,
        "long-summaries",
        new Priority(1, 2),
        true,
        new RequestSize(5_300, 6_100, 800),
        prefix,
        -50,
        2_900,
        12_407,
        200,
        150,
        false,
        true,
        false,
        Set.of("model-17", "model-63"));
  }
}
