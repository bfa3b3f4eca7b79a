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
import java.io.IOException;
import java.util.List;
import org.gooseberryhill.decision.configuration.TextChange;
import org.gooseberryhill.decision.job.WorkItem;
import org.gooseberryhill.decision.membership.Rumor;
import org.gooseberryhill.decision.requestbatch.BatchPage;
import org.gooseberryhill.decision.requestbatch.ItemResult;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/** Turns frames into MessagePack behind a four-byte length, and back. One for each connection. */
final class PeerCodec extends MessageToMessageCodec<ByteBuf, PeerFrame> {
    /** The largest frame in bytes: a segment of the largest chunk with room for its name. */
    static final int MAX_FRAME_BYTES = 24 * 1024 * 1024;

    private static final int LENGTH_BYTES = 4;
    private static final ObjectMapper MAPPER = new ObjectMapper(new MessagePackFactory())
            .registerModule(new Jdk8Module())
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    static {
        List.of(Rumor.class, WorkItem.class, TextChange.class, BatchPage.class, ItemResult.class)
                .forEach(type ->
                        MAPPER.configOverride(type).setFormat(JsonFormat.Value.forShape(JsonFormat.Shape.ARRAY)));
    }

    private final PeerTraffic traffic;

    private PeerCodec(PeerTraffic traffic) {
        this.traffic = traffic;
    }

    /** Adds the framing and the codec to a connection. */
    static void addTo(ChannelPipeline pipeline, PeerTraffic traffic) {
        pipeline.addLast(new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
                .addLast(new LengthFieldPrepender(LENGTH_BYTES))
                .addLast(new PeerCodec(traffic));
    }

    /** The bytes of a frame without its length; also what the cost per message is measured from. */
    static byte[] encode(PeerFrame frame) throws IOException {
        return MAPPER.writeValueAsBytes(frame);
    }

    static PeerFrame decode(byte[] bytes) throws IOException {
        return MAPPER.readValue(bytes, PeerFrame.class);
    }

    @Override
    protected void encode(ChannelHandlerContext context, PeerFrame frame, List<Object> out) throws IOException {
        byte[] bytes = encode(frame);
        traffic.sent(LENGTH_BYTES + bytes.length);
        out.add(Unpooled.wrappedBuffer(bytes));
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws IOException {
        traffic.received(LENGTH_BYTES + buffer.readableBytes());
        out.add(decode(ByteBufUtil.getBytes(buffer)));
    }
}
