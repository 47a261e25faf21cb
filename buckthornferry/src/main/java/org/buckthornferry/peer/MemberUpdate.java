package org.buckthornferry.peer;

import java.io.IOException;
import java.util.List;
import org.buckthornferry.util.Checks;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Membership changes that are sent immediately, outside the heartbeats: to announce a departure, to
 * notify a suspected member, or to report to another region.
 *
 * @param entries the members, the sender first, at most {@link #MAX_ENTRIES}
 * @param regions the sender's own region when the receiver is in another one, otherwise empty
 */
public record MemberUpdate(List<MemberEntry> entries, List<RegionSummary> regions)
    implements PeerMessage {
  /** The largest number of elements in each list. */
  public static final int MAX_ENTRIES = 16;

  /** Copies the lists and checks their sizes. */
  public MemberUpdate {
    entries = List.copyOf(entries);
    regions = List.copyOf(regions);
    Checks.check(entries.size() <= MAX_ENTRIES, "too many entries");
    Checks.check(regions.size() <= MAX_ENTRIES, "too many regions");
  }

  @Override
  public MessageType type() {
    return MessageType.MEMBER_UPDATE;
  }

  @Override
  public void encode(MessagePacker packer) throws IOException {
    FieldCodec.packList(packer, entries, MemberEntry::encode);
    FieldCodec.packList(packer, regions, RegionSummary::encode);
  }

  static MemberUpdate decode(MessageUnpacker unpacker) throws IOException {
    return new MemberUpdate(
        FieldCodec.unpackList(unpacker, MAX_ENTRIES, MemberEntry::decode),
        FieldCodec.unpackList(unpacker, MAX_ENTRIES, RegionSummary::decode));
  }
}
