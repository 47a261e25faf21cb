package org.buckthornferry.fleet;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.buckthornferry.fleet.CrashLog.Crash;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * A message about parts of prompts that may crash endpoints. Times are sent as ages, because the
 * clocks of instances differ, and converted to the clock of the instance.
 *
 * @param crashes crashes that the sender has observed
 * @param askedParts parts of which the sender wants to know when they were last answered
 * @param askedProcesses processes of which the sender wants to know when they last responded
 * @param answeredNanos when parts were last answered
 * @param respondedNanos when processes last responded
 * @param blames parts to refuse
 * @param trialKey the blame for which a trial is requested or granted; empty if none is
 */
record PartMessage(
    Collection<Crash> crashes,
    Collection<String> askedParts,
    Collection<String> askedProcesses,
    Map<String, Long> answeredNanos,
    Map<String, Long> respondedNanos,
    Collection<PartBlame> blames,
    String trialKey) {
  /** A message without content. */
  static final PartMessage EMPTY =
      new PartMessage(List.of(), List.of(), List.of(), Map.of(), Map.of(), List.of(), "");

  /** Maximum number of entries of each list, so that a faulty message cannot exhaust memory. */
  private static final int MAX_ENTRIES = 16_384;

  PartMessage withCrashes(Collection<Crash> newCrashes) {
    return new PartMessage(
        newCrashes, askedParts, askedProcesses, answeredNanos, respondedNanos, blames, trialKey);
  }

  PartMessage withQuestions(Collection<String> parts, Collection<String> processes) {
    return new PartMessage(
        crashes, parts, processes, answeredNanos, respondedNanos, blames, trialKey);
  }

  PartMessage withAnswered(Map<String, Long> nanos) {
    return new PartMessage(
        crashes, askedParts, askedProcesses, nanos, respondedNanos, blames, trialKey);
  }

  PartMessage withResponded(Map<String, Long> nanos) {
    return new PartMessage(
        crashes, askedParts, askedProcesses, answeredNanos, nanos, blames, trialKey);
  }

  PartMessage withBlames(Collection<PartBlame> newBlames) {
    return new PartMessage(
        crashes, askedParts, askedProcesses, answeredNanos, respondedNanos, newBlames, trialKey);
  }

  PartMessage withTrial(String key) {
    return new PartMessage(
        crashes, askedParts, askedProcesses, answeredNanos, respondedNanos, blames, key);
  }

  byte[] encode(long nowNanos) {
    return MessageCodec.pack(
        packer -> {
          packer.packArrayHeader(crashes.size());
          for (Crash crash : crashes) {
            packer.packString(crash.processKey());
            writeAge(packer, crash.endedNanos(), nowNanos);
            packer.packArrayHeader(crash.requests().size());
            for (SuspectRequest request : crash.requests()) {
              packer.packString(request.contentHash());
              writeAge(packer, request.sentNanos(), nowNanos);
              writeTexts(packer, request.partIds());
            }
          }
          writeTexts(packer, askedParts);
          writeTexts(packer, askedProcesses);
          writeAges(packer, answeredNanos, nowNanos);
          writeAges(packer, respondedNanos, nowNanos);
          packer.packArrayHeader(blames.size());
          for (PartBlame blame : blames) {
            writeTexts(packer, blame.partIds());
            packer.packInt(blame.processes()).packInt(blame.contents()).packInt(blame.incidents());
            writeAge(packer, blame.lastCrashNanos(), nowNanos);
          }
          packer.packString(trialKey);
        });
  }

  static PartMessage decode(byte[] message, long nowNanos) throws IOException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(message)) {
      List<Crash> crashes = new ArrayList<>();
      for (int i = readSize(unpacker); i > 0; i--) {
        String processKey = MessageCodec.readText(unpacker);
        long endedNanos = readAge(unpacker, nowNanos);
        List<SuspectRequest> requests = new ArrayList<>();
        for (int j = readSize(unpacker); j > 0; j--) {
          requests.add(
              new SuspectRequest(
                  MessageCodec.readText(unpacker),
                  readAge(unpacker, nowNanos),
                  readTexts(unpacker)));
        }
        crashes.add(new Crash(processKey, endedNanos, requests));
      }
      List<String> askedParts = readTexts(unpacker);
      List<String> askedProcesses = readTexts(unpacker);
      Map<String, Long> answered = readAges(unpacker, nowNanos);
      Map<String, Long> responded = readAges(unpacker, nowNanos);
      List<PartBlame> blames = new ArrayList<>();
      for (int i = readSize(unpacker); i > 0; i--) {
        blames.add(
            new PartBlame(
                readTexts(unpacker),
                unpacker.unpackInt(),
                unpacker.unpackInt(),
                unpacker.unpackInt(),
                readAge(unpacker, nowNanos)));
      }
      String trialKey = MessageCodec.readText(unpacker);
      return new PartMessage(
          crashes, askedParts, askedProcesses, answered, responded, blames, trialKey);
    } catch (MessagePackException e) {
      throw new IOException("malformed message about parts", e);
    }
  }

  private static void writeAge(MessageBufferPacker packer, long nanos, long nowNanos)
      throws IOException {
    packer.packLong(Math.max(0, TimeUnit.NANOSECONDS.toMillis(nowNanos - nanos)));
  }

  private static long readAge(MessageUnpacker unpacker, long nowNanos) throws IOException {
    return nowNanos - TimeUnit.MILLISECONDS.toNanos(Math.max(0, unpacker.unpackLong()));
  }

  private static void writeAges(
      MessageBufferPacker packer, Map<String, Long> nanosByKey, long nowNanos) throws IOException {
    packer.packMapHeader(nanosByKey.size());
    for (Map.Entry<String, Long> entry : nanosByKey.entrySet()) {
      packer.packString(entry.getKey());
      writeAge(packer, entry.getValue(), nowNanos);
    }
  }

  private static Map<String, Long> readAges(MessageUnpacker unpacker, long nowNanos)
      throws IOException {
    Map<String, Long> nanosByKey = new LinkedHashMap<>();
    for (int i = checkSize(unpacker.unpackMapHeader()); i > 0; i--) {
      nanosByKey.put(MessageCodec.readText(unpacker), readAge(unpacker, nowNanos));
    }
    return nanosByKey;
  }

  private static void writeTexts(MessageBufferPacker packer, Collection<String> texts)
      throws IOException {
    packer.packArrayHeader(texts.size());
    for (String text : texts) {
      packer.packString(text);
    }
  }

  private static List<String> readTexts(MessageUnpacker unpacker) throws IOException {
    List<String> texts = new ArrayList<>();
    for (int i = readSize(unpacker); i > 0; i--) {
      texts.add(MessageCodec.readText(unpacker));
    }
    return texts;
  }

  private static int readSize(MessageUnpacker unpacker) throws IOException {
    return checkSize(unpacker.unpackArrayHeader());
  }

  private static int checkSize(int size) throws IOException {
    if (size > MAX_ENTRIES) {
      throw new IOException("list of " + size + " entries exceeds " + MAX_ENTRIES);
    }
    return size;
  }
}
