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
 * Encodes and decodes frames, which consist of a 4-byte big-endian length and an {@link Envelope}.
 * Until the handshake is complete, only short frames are accepted, so that an unauthenticated peer
 * cannot make the daemon allocate much memory.
 */
final class FrameCodec extends ByteToMessageCodec<Envelope> {

  static final int VERSION = 1;
  static final int MAX_FRAME_BYTES = 4 * 1024 * 1024;

  /** Longest body; the rest of the frame is left for the other fields of the envelope. */
  static final int MAX_BODY_BYTES = MAX_FRAME_BYTES - 1024;

  static final int MAX_HANDSHAKE_FRAME_BYTES = 1024;
  private static final int LENGTH_BYTES = 4;
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final TransportListener listener;
  private int frameLimitBytes = MAX_HANDSHAKE_FRAME_BYTES;
  private boolean refused;

  FrameCodec(TransportListener listener) {
    this.listener = listener;
  }

  /** Accepts frames of up to {@link #MAX_FRAME_BYTES} from now on. */
  void allowFullLengthFrames() {
    frameLimitBytes = MAX_FRAME_BYTES;
  }

  static int checksum(ByteString body) {
    CRC32C crc = new CRC32C();
    for (var part : body.asReadOnlyByteBufferList()) {
      crc.update(part);
    }
    return (int) crc.getValue();
  }

  /** Returns an envelope with the given serialized body, its checksum and the version. */
  static Envelope.Builder envelope(ByteString body) {
    return Envelope.newBuilder().setVersion(VERSION).setChecksum(checksum(body)).setBody(body);
  }

  @Override
  protected void encode(ChannelHandlerContext ctx, Envelope envelope, ByteBuf out)
      throws IOException {
    int size = envelope.getSerializedSize();
    checkArgument(size <= MAX_FRAME_BYTES, "frame of %s bytes exceeds the maximum length", size);
    out.ensureWritable(LENGTH_BYTES + size);
    out.writeInt(size);
    envelope.writeTo(new ByteBufOutputStream(out));
    listener.sent(LENGTH_BYTES + size);
  }

  @Override
  protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out)
      throws IOException {
    if (refused) {
      in.skipBytes(in.readableBytes());
      return;
    }
    if (in.readableBytes() < LENGTH_BYTES) {
      return;
    }
    int size = in.getInt(in.readerIndex());
    if (size < 0 || size > frameLimitBytes) {
      refuse(
          ctx,
          ConnectionRefusal.OVERSIZE,
          "frame of " + size + " bytes, expected at most " + frameLimitBytes);
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
      refuse(ctx, ConnectionRefusal.MALFORMED, e.getMessage());
      return;
    }
    if (envelope.getVersion() != VERSION) {
      refuse(ctx, ConnectionRefusal.BAD_VERSION, "version " + envelope.getVersion());
    } else if (envelope.getChecksum() != checksum(envelope.getBody())) {
      refuse(
          ctx, ConnectionRefusal.BAD_CHECKSUM, "checksum mismatch in call " + envelope.getCallId());
    } else {
      out.add(envelope);
    }
  }

  /** Reports and logs a refusal and closes the connection. All further input is discarded. */
  void refuse(ChannelHandlerContext ctx, ConnectionRefusal refusal, String detail) {
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
            ctx.channel().remoteAddress(), refusal.code(), detail);
    ctx.close();
  }
}
