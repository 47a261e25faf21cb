package org.buckthornferry.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.buckthornferry.util.Checks;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * The report of a grant holder to the owner of some shards. Contains every entry that changed since
 * the last report that the owner answered, so that a report supersedes all earlier ones.
 *
 * @param incarnation the incarnation of the holder
 * @param requestId increases with every report to the owner
 * @param ownerIncarnation the incarnation of the owner that sent {@code appliedGrantId}
 * @param appliedGrantId the latest grant message that the holder applied, or 0
 * @param answers the answers to the probes of {@code appliedGrantId}
 */
public record HolderReport(
    long incarnation,
    long requestId,
    long ownerIncarnation,
    long appliedGrantId,
    List<Shard> shards,
    List<Entry> entries,
    List<Answer> answers) {
  /** The largest number of shards or entries in one message. */
  public static final int MAX_ENTRIES = 8_192;

  /** The maximum length of an endpoint id, in characters. */
  public static final int MAX_ENDPOINT_ID_CHARS = 128;

  /**
   * A shard of the owner.
   *
   * @param complete whether the report lists every endpoint of the shard that the holder uses
   */
  public record Shard(int shard, long fencingNumber, boolean complete) {
    /** Checks that the numbers are in range. */
    public Shard {
      Checks.notNegative(shard, "shard");
      Checks.positive(fencingNumber, "fencingNumber");
    }
  }

  /**
   * The state of one endpoint at the holder.
   *
   * @param fencingNumber the fencing number of the held grant, or 0 without a grant
   * @param held the holder's current limit, from its grant or its fallback slice
   * @param running the resources in use
   * @param demand the resources that the holder would use now if it had no limit
   */
  public record Entry(
      String endpointId, long fencingNumber, Amounts held, Amounts running, Amounts demand) {
    /** Checks the bounds. */
    public Entry {
      checkEndpointId(endpointId);
      Checks.notNegative(fencingNumber, "fencingNumber");
    }
  }

  /**
   * The answer to a probe.
   *
   * @param minRunning the smallest number of concurrent requests around the probed time
   */
  public record Answer(String endpointId, long minRunning) {
    /** Checks the bounds. */
    public Answer {
      checkEndpointId(endpointId);
      Checks.notNegative(minRunning, "minRunning");
    }
  }

  /** Copies the lists. */
  public HolderReport {
    answers = List.copyOf(answers);
    shards = List.copyOf(shards);
    entries = List.copyOf(entries);
  }

  static void checkEndpointId(String endpointId) {
    Checks.notEmpty(endpointId, "endpointId");
    Checks.check(endpointId.length() <= MAX_ENDPOINT_ID_CHARS, "endpointId is too long");
  }

  static int decodeCount(MessageUnpacker unpacker) throws IOException {
    int count = unpacker.unpackArrayHeader();
    Checks.check(count <= MAX_ENTRIES, "too many entries: " + count);
    return count;
  }

  void encode(MessagePacker packer) throws IOException {
    packer.packLong(incarnation).packLong(requestId);
    packer.packLong(ownerIncarnation).packLong(appliedGrantId);
    packer.packArrayHeader(shards.size());
    for (Shard shard : shards) {
      packer.packInt(shard.shard).packLong(shard.fencingNumber).packBoolean(shard.complete);
    }
    packer.packArrayHeader(entries.size());
    for (Entry entry : entries) {
      packer.packString(entry.endpointId).packLong(entry.fencingNumber);
      entry.held.encode(packer);
      entry.running.encode(packer);
      entry.demand.encode(packer);
    }
    packer.packArrayHeader(answers.size());
    for (Answer answer : answers) {
      packer.packString(answer.endpointId).packLong(answer.minRunning);
    }
  }

  static HolderReport decode(MessageUnpacker unpacker) throws IOException {
    final long incarnation = unpacker.unpackLong();
    final long requestId = unpacker.unpackLong();
    final long ownerIncarnation = unpacker.unpackLong();
    final long appliedGrantId = unpacker.unpackLong();
    List<Shard> shards = new ArrayList<>();
    for (int count = decodeCount(unpacker); count > 0; count--) {
      shards.add(new Shard(unpacker.unpackInt(), unpacker.unpackLong(), unpacker.unpackBoolean()));
    }
    List<Entry> entries = new ArrayList<>();
    for (int count = decodeCount(unpacker); count > 0; count--) {
      entries.add(
          new Entry(
              unpacker.unpackString(),
              unpacker.unpackLong(),
              Amounts.decode(unpacker),
              Amounts.decode(unpacker),
              Amounts.decode(unpacker)));
    }
    List<Answer> answers = new ArrayList<>();
    for (int count = decodeCount(unpacker); count > 0; count--) {
      answers.add(new Answer(unpacker.unpackString(), unpacker.unpackLong()));
    }
    return new HolderReport(
        incarnation, requestId, ownerIncarnation, appliedGrantId, shards, entries, answers);
  }
}
