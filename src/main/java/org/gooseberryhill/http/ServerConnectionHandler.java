package org.gooseberryhill.http;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import io.vavr.Lazy;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.apache.logging.log4j.Logger;
import org.gooseberryhill.logging.Logs;

/**
 * Serves the requests of one connection sequentially. Runs only on the connection's event loop.
 *
 * <p>Invariant: a request is processed only after the previous response is complete, so a response can never be sent for
 * another request of the same connection.
 */
final class ServerConnectionHandler extends ChannelDuplexHandler {
    /** How long a new connection does not count as idle, since its first request may be in transit. */
    static final long FIRST_REQUEST_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /**
     * Reading pauses while this many messages of pipelined requests are queued. Messages that were already read may exceed it.
     */
    private static final int MAX_WAITING_MESSAGES = 64;

    private static final Lazy<Logger> LOG = Logs.of(ServerConnectionHandler.class);

    private final HttpHandler handler;
    private final HttpLimits limits;
    private final Queue<HttpObject> waiting = new ArrayDeque<>();
    private ServerCall call;
    private HttpBody body;
    private boolean bodyDone;
    private boolean bodyHeldBack;
    private boolean takingWaiting;
    private long requests;
    private boolean messageCame;
    private boolean headBegun;
    private boolean lastAnswerGiven;
    private long acceptedNanos;
    private final BooleanSupplier closing;
    private final AtomicInteger unanswered;
    private ScheduledFuture<?> idleTimer;

    /**
     * Creates the handler of a connection.
     *
     * @param closing whether responses announce that their connection closes
     * @param unanswered counts the requests of all connections whose response is not complete
     */
    ServerConnectionHandler(HttpHandler handler, HttpLimits limits, BooleanSupplier closing, AtomicInteger unanswered) {
        this.handler = handler;
        this.limits = limits;
        this.closing = closing;
        this.unanswered = unanswered;
    }

    /** Returns whether responses announce that their connection closes. */
    boolean isClosing() {
        return closing.getAsBoolean();
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        acceptedNanos = nanoTime(context.channel());
        closeWhenIdle(context.channel());
        context.fireChannelActive();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        HttpObject object = (HttpObject) message;
        messageCame = true;
        headBegun = false;
        if (lastAnswerGiven) {
            ReferenceCountUtil.release(object);
            return;
        }
        boolean belongsToNext = call != null && bodyDone;
        if (belongsToNext || !waiting.isEmpty()) {
            waiting.add(object);
            readAsFitting(context.channel());
            return;
        }
        process(context, object);
    }

    /** Bytes that were read without completing a message are the beginning of one. */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        headBegun = headBegun || !messageCame;
        messageCame = false;
        context.fireChannelReadComplete();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        cancelIdleTimer();
        dropWaiting();
        if (call != null) {
            if (body != null && !bodyDone) {
                body.onAborted();
            }
            call.disconnected();
            unanswered.decrementAndGet();
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        // The response to a reader that stalls would accumulate in memory. The close shows the caller the truncation.
        if (!context.channel().isWritable()) {
            LOG.get().warn("closing connection: unsent bytes exceed the limit because the reader is too slow");
            context.close();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        LOG.get().debug("connection failed: {}", cause.toString());
        context.close();
    }

    /** Closes the connection unless a request is in progress on it; a response that is still being sent is sent first. */
    void closeIfIdle(Channel connection) {
        boolean isNew = requests == 0 && nanoTime(connection) - acceptedNanos < FIRST_REQUEST_NANOS;
        if (call == null && !isNew && !headBegun) {
            closeUnannounced(connection);
        }
    }

    /** Pauses or resumes reading the body of the current request. */
    void holdBodyBack(Channel connection, boolean holdBack) {
        bodyHeldBack = holdBack;
        readAsFitting(connection);
    }

    /** Called when the current response is complete: processes the next request, or closes the connection. */
    void callEnded(ChannelHandlerContext context, boolean keepAlive) {
        boolean unreadBody = !bodyDone;
        call = null;
        bodyHeldBack = false;
        unanswered.decrementAndGet();
        if (!keepAlive || unreadBody) {
            closeAnnounced(context.channel());
            return;
        }
        closeWhenIdle(context.channel());
        takeWaiting(context);
    }

    /** Processes queued requests. A response given inside the loop does not start another loop, which bounds the stack depth. */
    private void takeWaiting(ChannelHandlerContext context) {
        if (takingWaiting) {
            return;
        }
        takingWaiting = true;
        try {
            while (!lastAnswerGiven && !waiting.isEmpty() && (call == null || !bodyDone)) {
                process(context, waiting.poll());
            }
        } finally {
            takingWaiting = false;
            readAsFitting(context.channel());
        }
    }

    /** Reads unless the queue is full or the body is paused, since only reading detects that the caller has disconnected. */
    private void readAsFitting(Channel connection) {
        connection.config().setAutoRead(!bodyHeldBack && waiting.size() < MAX_WAITING_MESSAGES);
    }

    /**
     * Closes a connection whose caller does not expect it. It closes at once after the flush, since requests that arrive before
     * the close would be read and discarded.
     */
    private void closeUnannounced(Channel connection) {
        if (lastAnswerGiven) {
            return;
        }
        takeNothingMore(connection);
        connection.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(flushed -> connection.close());
        closeAfterSilentPeriod(connection);
    }

    /**
     * Closes a connection after its response announced the close. Closing a socket with unread data resets the connection, and
     * the caller loses the part of the response that is still in transit. So the data is read first; if reading is off, only
     * the output is shut down and the caller closes the connection.
     */
    private void closeAnnounced(Channel connection) {
        if (lastAnswerGiven) {
            return;
        }
        boolean hasUnread = !connection.config().isAutoRead();
        takeNothingMore(connection);
        Runnable close = hasUnread && connection instanceof DuplexChannel caller
                ? caller::shutdownOutput
                : () -> RecentRead.thenRun(connection.eventLoop(), connection::close);
        connection.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(flushed -> close.run());
        closeAfterSilentPeriod(connection);
    }

    private void takeNothingMore(Channel connection) {
        lastAnswerGiven = true;
        cancelIdleTimer();
        dropWaiting();
        readAsFitting(connection);
    }

    /** Closes the connection if no byte is sent for a whole idle period, because the reader has stalled. */
    private void closeAfterSilentPeriod(Channel connection) {
        if (connection.isOpen()) {
            afterSilentPeriod(connection, connection::close);
        }
    }

    private void process(ChannelHandlerContext context, HttpObject object) {
        try {
            if (object.decoderResult().isFailure()) {
                rejectMalformed(context, object.decoderResult().cause());
                return;
            }
            if (object instanceof HttpRequest request) {
                begin(context, request);
            }
            if (object instanceof HttpContent content) {
                takeBody(content);
            }
        } finally {
            ReferenceCountUtil.release(object);
        }
    }

    private void begin(ChannelHandlerContext context, HttpRequest request) {
        cancelIdleTimer();
        requests++;
        unanswered.incrementAndGet();
        bodyDone = false;
        if (HttpUtil.is100ContinueExpected(request)) {
            context.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
        ServerCall started = new ServerCall(context, this, request);
        call = started;
        body = handler.handle(started);
    }

    private void takeBody(HttpContent content) {
        if (body == null) {
            return;
        }
        if (content.content().isReadable()) {
            body.onBytes(ByteBufUtil.getBytes(content.content()));
        }
        if (content instanceof LastHttpContent) {
            HttpBody whole = body;
            body = null;
            bodyDone = true;
            whole.onEnd();
        }
    }

    private void rejectMalformed(ChannelHandlerContext context, Throwable cause) {
        String detail = cause == null ? "malformed" : String.valueOf(cause.getMessage());
        byte[] text = ("{\"error\":{\"code\":\"invalid-request\",\"outcome\":\"not-run\",\"message\":\"malformed HTTP: "
                        + detail.replaceAll("[^ -~]|[\"\\\\]", "?") + "\"}}")
                .getBytes(StandardCharsets.UTF_8);
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.BAD_REQUEST, Unpooled.wrappedBuffer(text));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, text.length);
        response.headers().set(HttpHeaderNames.CONNECTION, "close");
        context.write(response);
        closeAnnounced(context.channel());
    }

    private void dropWaiting() {
        waiting.forEach(ReferenceCountUtil::release);
        waiting.clear();
    }

    private void closeWhenIdle(Channel connection) {
        afterSilentPeriod(connection, () -> closeUnlessRequestComes(connection, requests));
    }

    /** Reads first: a delayed event loop thread may not have read a request that arrived before the end of the idle period. */
    private void closeUnlessRequestComes(Channel connection, long requestsBefore) {
        RecentRead.thenRun(connection.eventLoop(), () -> {
            if (requests == requestsBefore) {
                closeUnannounced(connection);
            }
        });
    }

    /** Runs an action once no byte has been sent for a whole idle period, unless the timer is cancelled first. */
    private void afterSilentPeriod(Channel connection, Runnable action) {
        cancelIdleTimer();
        UnsentBytes before = UnsentBytes.of(connection);
        idleTimer = connection
                .eventLoop()
                .schedule(
                        () -> {
                            if (UnsentBytes.of(connection).equals(before)) {
                                action.run();
                                return;
                            }
                            afterSilentPeriod(connection, action);
                        },
                        limits.idleMillis(),
                        TimeUnit.MILLISECONDS);
    }

    private static long nanoTime(Channel connection) {
        return connection.eventLoop().ticker().nanoTime();
    }

    private void cancelIdleTimer() {
        if (idleTimer != null) {
            idleTimer.cancel(false);
            idleTimer = null;
        }
    }
}
