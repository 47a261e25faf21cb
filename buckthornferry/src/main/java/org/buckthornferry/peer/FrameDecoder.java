package org.buckthornferry.peer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.util.List;

/** Reads length-prefixed frames. A frame is refused by its first bytes, before it is buffered. */
final class FrameDecoder extends ByteToMessageDecoder {
  /** The length prefix of a frame, in bytes. */
  static final int PREFIX_BYTES = 4;

  /** The largest first frame, which comes from an unknown sender, in bytes. */
  static final int MAX_HELLO_BYTES = 1_024;

  private static final int HEADER_BYTES = 2;

  private final PeerMetrics metrics;
  private boolean first = true;

  FrameDecoder(PeerMetrics metrics) {
    this.metrics = metrics;
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
    if (in.readableBytes() < PREFIX_BYTES) {
      return;
    }
    int start = in.readerIndex();
    int length = in.getInt(start);
    checkLength(length);
    if (in.readableBytes() < PREFIX_BYTES + HEADER_BYTES) {
      return;
    }
    checkType(length, in.getByte(start + PREFIX_BYTES), in.getByte(start + PREFIX_BYTES + 1));
    if (in.readableBytes() < PREFIX_BYTES + length) {
      return;
    }
    byte[] payload = new byte[length];
    in.skipBytes(PREFIX_BYTES).readBytes(payload);
    out.add(PeerCodec.decode(payload));
    first = false;
    metrics.messagesReceived.inc();
    metrics.bytesReceived.inc(PREFIX_BYTES + length);
  }

  private void checkLength(int length) {
    int maxBytes = first ? MAX_HELLO_BYTES : PeerCodec.MAX_CONFIG_FRAME_BYTES;
    if (length < HEADER_BYTES || length > maxBytes) {
      throw new PeerProtocolException(
          "frame of " + length + " bytes is not in " + HEADER_BYTES + ".." + maxBytes);
    }
  }

  /** Version and type are small integers, which MessagePack writes as one byte each. */
  private static void checkType(int length, byte version, byte type) {
    if (version != PeerCodec.PROTOCOL_VERSION) {
      throw new PeerProtocolException("unsupported protocol version " + version);
    }
    if (length > maxBytes(MessageType.ofCode(type))) {
      throw new PeerProtocolException(
          "frame of " + length + " bytes is too large for " + MessageType.ofCode(type));
    }
  }

  /** Returns the largest frame of a type, in bytes without the prefix. */
  static int maxBytes(MessageType type) {
    return type == MessageType.CONFIG_REPLY
        ? PeerCodec.MAX_CONFIG_FRAME_BYTES
        : PeerCodec.MAX_FRAME_BYTES;
  }
}
