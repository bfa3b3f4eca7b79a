package org.gooseberryhill.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.util.concurrent.Ticker;
import java.nio.charset.StandardCharsets;

/** A connection whose caller reads as many bytes as a test allows. */
final class CallerConnection extends EmbeddedChannel {
    private final StringBuilder readText = new StringBuilder();
    private long readLimitBytes = Long.MAX_VALUE;

    CallerConnection(Ticker ticker, HttpLimits limits, ServerConnectionHandler handler) {
        super(builder().ticker(ticker).handlers(HttpServer.newCodec(limits), handler));
        config().setWriteBufferWaterMark(new WriteBufferWaterMark(0, limits.maxPendingWriteBytes()));
    }

    /** Lets the caller read up to the given number of bytes, of data already written or written later. */
    void readUpTo(long bytes) {
        readLimitBytes = bytes;
        flush();
    }

    String readText() {
        return readText.toString();
    }

    @Override
    protected void doWrite(ChannelOutboundBuffer outboundBuffer) {
        ByteBuf next = (ByteBuf) outboundBuffer.current();
        while (next != null && (readLimitBytes > 0 || !next.isReadable())) {
            int bytes = (int) Math.min(readLimitBytes, next.readableBytes());
            readText.append(next.toString(next.readerIndex(), bytes, StandardCharsets.ISO_8859_1));
            readLimitBytes -= bytes;
            outboundBuffer.removeBytes(bytes);
            next = (ByteBuf) outboundBuffer.current();
        }
    }
}
