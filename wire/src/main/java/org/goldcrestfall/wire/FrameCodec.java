package org.goldcrestfall.wire;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufInputStream;
import io.netty.buffer.ByteBufOutputStream;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageCodec;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.zip.CRC32C;
import org.goldcrestfall.wire.generated.Envelope;

/**
 * Frames of a 4-byte big-endian length and an {@link Envelope}. Until the handshake is done only
 * short frames are accepted, so that a stranger cannot make the daemon allocate memory.
 */
final class FrameCodec extends ByteToMessageCodec<Envelope> {

  static final int VERSION = 1;
  static final int MAX_FRAME_BYTES = 4 * 1024 * 1024;

  /** Leaves room for the other fields of the envelope. */
  static final int MAX_BODY_BYTES = MAX_FRAME_BYTES - 1024;

  static final int MAX_HANDSHAKE_BYTES = 1024;
  private static final int LENGTH_BYTES = 4;
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final TransportListener listener;
  private int limit = MAX_HANDSHAKE_BYTES;
  private boolean refused;

  FrameCodec(TransportListener listener) {
    this.listener = listener;
  }

  /** Accepts frames of full length from now on. */
  void liftLimit() {
    limit = MAX_FRAME_BYTES;
  }

  static int checksum(ByteString body) {
    CRC32C crc = new CRC32C();
    for (var part : body.asReadOnlyByteBufferList()) {
      crc.update(part);
    }
    return (int) crc.getValue();
  }

  /** Returns an envelope around a serialized body. */
  static Envelope.Builder envelope(ByteString body) {
    return Envelope.newBuilder().setVersion(VERSION).setChecksum(checksum(body)).setBody(body);
  }

  @Override
  protected void encode(ChannelHandlerContext c, Envelope envelope, ByteBuf out)
      throws IOException {
    int size = envelope.getSerializedSize();
    checkArgument(size <= MAX_FRAME_BYTES, "frame is too long: %s bytes", size);
    out.ensureWritable(LENGTH_BYTES + size);
    out.writeInt(size);
    envelope.writeTo(new ByteBufOutputStream(out));
    listener.sent(LENGTH_BYTES + size);
  }

  @Override
  protected void decode(ChannelHandlerContext c, ByteBuf in, List<Object> out) throws IOException {
    if (refused) {
      in.skipBytes(in.readableBytes());
      return;
    }
    if (in.readableBytes() < LENGTH_BYTES) {
      return;
    }
    int size = in.getInt(in.readerIndex());
    if (size < 0 || size > limit) {
      refuse(c, Refusal.OVERSIZE, "frame of " + size + " bytes, limit " + limit);
      return;
    }
    if (in.readableBytes() < LENGTH_BYTES + size) {
      return;
    }
    in.skipBytes(LENGTH_BYTES);
    listener.received(LENGTH_BYTES + size);
    Envelope envelope;
    try {
      envelope = Envelope.parseFrom(new ByteBufInputStream(in.readSlice(size)));
    } catch (InvalidProtocolBufferException e) {
      refuse(c, Refusal.MALFORMED, e.getMessage());
      return;
    }
    if (envelope.getVersion() != VERSION) {
      refuse(c, Refusal.BAD_VERSION, "version " + envelope.getVersion());
    } else if (envelope.getChecksum() != checksum(envelope.getBody())) {
      refuse(c, Refusal.BAD_CHECKSUM, "checksum of call " + envelope.getCallId());
    } else {
      out.add(envelope);
    }
  }

  /** Counts and logs a refusal and closes the connection; later input is discarded. */
  void refuse(ChannelHandlerContext c, Refusal refusal, String detail) {
    if (refused) {
      return;
    }
    refused = true;
    listener.refused(refusal);
    logger
        .atWarning()
        .per(refusal)
        .atMostEvery(1, TimeUnit.SECONDS)
        .log(
            "peer: closed the connection with %s: %s: %s",
            c.channel().remoteAddress(), refusal.code(), detail);
    c.close();
  }
}
