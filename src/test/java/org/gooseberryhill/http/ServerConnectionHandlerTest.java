package org.gooseberryhill.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** One connection without a socket, in virtual time. */
class ServerConnectionHandlerTest {
    private static final HttpLimits LIMITS = HttpLimits.DEFAULT;
    private static final int BODY_BYTES = 100;

    private final AtomicBoolean closing = new AtomicBoolean();
    private final AtomicInteger unanswered = new AtomicInteger();
    private final List<String> begun = new ArrayList<>();
    private final List<HttpCall> held = new ArrayList<>();
    private final CallerConnection connection =
            new CallerConnection(new ServerConnectionHandler(this::handle, LIMITS, closing::get, unanswered));

    @AfterEach
    void close() {
        connection.finishAndReleaseAll();
    }

    /** Guards against a request that is begun behind the last answer of its connection, and cut as that closes. */
    @Test
    void aPipelinedRequestBehindTheLastAnswerIsNotBegun() {
        receive("GET /held HTTP/1.1\r\n\r\nGET /one HTTP/1.1\r\n\r\nGET /held HTTP/1.1\r\n\r\n");
        HttpCall first = held.remove(0);
        first.beginStream(200, Map.of());
        closing.set(true);
        connection.takeUpTo(0);

        first.endStream();
        connection.takeUpTo(Long.MAX_VALUE);

        assertThat(begun).containsExactly("/held", "/one");
        assertThat(connection.taken()).contains("connection: close").endsWith("/one");
        assertThat(unanswered).hasValue(0);
        assertThat(connection.isOpen()).isFalse();
    }

    private HttpBody handle(HttpCall call) {
        begun.add(call.path());
        if (call.path().equals("/held")) {
            held.add(call);
            return new WholeBody(BODY_BYTES, body -> {}, () -> {});
        }
        return new WholeBody(BODY_BYTES, body -> answer(call), () -> {});
    }

    private static void answer(HttpCall call) {
        call.reply(200, Map.of(), RawEndpoint.ascii(call.path()));
    }

    private void receive(String bytes) {
        connection.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.ISO_8859_1));
    }

    /** A connection whose caller takes as many bytes as a test lets it. */
    private static final class CallerConnection extends EmbeddedChannel {
        private final StringBuilder taken = new StringBuilder();
        private long takesBytes = Long.MAX_VALUE;

        CallerConnection(ServerConnectionHandler handler) {
            super(new HttpServerCodec(), handler);
            config().setWriteBufferWaterMark(new WriteBufferWaterMark(0, LIMITS.maxPendingWriteBytes()));
        }

        /** Takes up to a number of bytes of what has been and will be written. */
        void takeUpTo(long bytes) {
            takesBytes = bytes;
            flush();
        }

        String taken() {
            return taken.toString();
        }

        @Override
        protected void doWrite(ChannelOutboundBuffer written) {
            ByteBuf next = (ByteBuf) written.current();
            while (next != null && (takesBytes > 0 || !next.isReadable())) {
                int bytes = (int) Math.min(takesBytes, next.readableBytes());
                taken.append(next.toString(next.readerIndex(), bytes, StandardCharsets.ISO_8859_1));
                takesBytes -= bytes;
                written.removeBytes(bytes);
                next = (ByteBuf) written.current();
            }
        }
    }
}
