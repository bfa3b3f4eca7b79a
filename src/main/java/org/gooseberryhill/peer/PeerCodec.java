package org.gooseberryhill.peer;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.MessageToMessageCodec;
import io.vavr.Lazy;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.apache.logging.log4j.Logger;
import org.gooseberryhill.decision.configuration.TextChange;
import org.gooseberryhill.decision.job.WorkItem;
import org.gooseberryhill.decision.membership.Rumor;
import org.gooseberryhill.decision.requestbatch.BatchPage;
import org.gooseberryhill.decision.requestbatch.ItemResult;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.link.HybridTimestamp;
import org.gooseberryhill.logging.LazyLoggers;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Encodes and decodes frames as MessagePack, prefixed by a four-byte length. One instance per connection.
 *
 * <p>Messages that every gateway exchanges have a compact encoding; the Jackson mapper encodes all others.
 *
 * <p>Invariant: a message that can't be decoded keeps no other frame of its connection from being read. If its sender waits for
 * it or for a reply to it, a {@link PeerMessage.Failed} takes its place; otherwise it is dropped.
 */
final class PeerCodec extends MessageToMessageCodec<ByteBuf, PeerFrame> {
    /** Maximum frame size: a segment of the largest chunk plus room for its name. */
    static final int MAX_FRAME_BYTES = 24 * 1024 * 1024;

    /** Size of the length field before each frame. */
    static final int LENGTH_BYTES = 4;

    private static final Lazy<ObjectMapper> MAPPER = Lazy.of(PeerCodec::newMapper);

    private static final Lazy<Logger> LOG = LazyLoggers.of(PeerCodec.class);

    private final PeerTraffic traffic;
    private boolean failureLogged;

    private PeerCodec(PeerTraffic traffic) {
        this.traffic = traffic;
    }

    /** Adds the framing and the codec to the pipeline of a connection. */
    static void addTo(ChannelPipeline pipeline, PeerTraffic traffic) {
        pipeline.addLast(new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
                .addLast(new LengthFieldPrepender(LENGTH_BYTES))
                .addLast(new PeerCodec(traffic));
    }

    /** Encodes a frame without its length field; also used to measure the size of messages. */
    static byte[] encode(PeerFrame frame) throws IOException {
        Optional<CompactCodec<?>> codec = CompactCodecs.of(frame.message());
        return codec.isPresent() ? encode(frame, codec.get()) : MAPPER.get().writeValueAsBytes(frame);
    }

    /**
     * Decodes a frame. A frame with a compact encoding begins with the message code, which is a small integer; a frame
     * written by the mapper is an array.
     */
    static PeerFrame decode(byte[] bytes) throws IOException {
        boolean compact = bytes.length > 0 && MessagePack.Code.isPosFixInt(bytes[0]);
        if (compact) {
            return decodeCompact(bytes);
        }
        requireComplete(bytes);
        return MAPPER.get().readValue(bytes, PeerFrame.class);
    }

    /**
     * Throws an exception if a frame ends within a value. The mapper allocates what the header of a value announces before it
     * reads the value.
     */
    private static void requireComplete(byte[] bytes) throws IOException {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            for (long values = 1; values > 0; values--) {
                switch (unpacker.getNextFormat().getValueType()) {
                    case ARRAY -> values += unpacker.unpackArrayHeader();
                    case MAP -> values += 2L * unpacker.unpackMapHeader();
                    default -> unpacker.skipValue();
                }
            }
        }
    }

    private static byte[] encode(PeerFrame frame, CompactCodec<?> codec) throws IOException {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packInt(codec.code())
                    .packLong(frame.number())
                    .packBoolean(frame.reply())
                    .packLong(frame.at().packed())
                    .packString(frame.from().value());
            codec.write(frame.message(), packer);
            return packer.toByteArray();
        }
    }

    private static PeerFrame decodeCompact(byte[] bytes) throws IOException {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            CompactCodec<?> codec = CompactCodecs.of(unpacker.unpackInt());
            return readHeader(unpacker, new PeerMessage.Ack())
                    .withMessage(codec.reader().read(unpacker));
        }
    }

    /** Decodes a frame whose message can't be decoded; empty if its header can't be decoded either. */
    private static Optional<PeerFrame> decodeHeader(byte[] bytes, Exception failure) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            unpacker.unpackInt();
            return Optional.of(readHeader(unpacker, new PeerMessage.Failed("not decoded: " + failure)));
        } catch (IOException | RuntimeException e) {
            // The caller logs the first failure, which tells more.
            return Optional.empty();
        }
    }

    private static PeerFrame readHeader(MessageUnpacker unpacker, PeerMessage message) throws IOException {
        long number = unpacker.unpackLong();
        boolean reply = unpacker.unpackBoolean();
        HybridTimestamp at = new HybridTimestamp(unpacker.unpackLong());
        return new PeerFrame(number, reply, at, new HostId(unpacker.unpackString()), message);
    }

    private static ObjectMapper newMapper() {
        ObjectMapper mapper = new ObjectMapper(new MessagePackFactory())
                .registerModule(new Jdk8Module())
                .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
        List.of(Rumor.class, WorkItem.class, TextChange.class, BatchPage.class, ItemResult.class)
                .forEach(type ->
                        mapper.configOverride(type).setFormat(JsonFormat.Value.forShape(JsonFormat.Shape.ARRAY)));
        return mapper;
    }

    @Override
    protected void encode(ChannelHandlerContext context, PeerFrame frame, List<Object> out) throws IOException {
        byte[] bytes = encode(frame);
        traffic.addSent(LENGTH_BYTES + bytes.length);
        out.add(Unpooled.wrappedBuffer(bytes));
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) {
        traffic.addReceived(LENGTH_BYTES + buffer.readableBytes());
        byte[] bytes = ByteBufUtil.getBytes(buffer);
        try {
            out.add(decode(bytes));
        } catch (IOException | RuntimeException e) {
            logFailure(context, e);
            decodeHeader(bytes, e)
                    .filter(frame -> frame.number() != PeerFrame.NO_REPLY)
                    .ifPresent(out::add);
        }
    }

    /** Logs the first failure of the connection; a sender whose messages can't be decoded may send many. */
    private void logFailure(ChannelHandlerContext context, Exception failure) {
        if (!failureLogged) {
            failureLogged = true;
            LOG.get()
                    .warn(
                            "a message from {} can't be decoded: {}",
                            context.channel().remoteAddress(),
                            failure.toString());
        }
    }
}
