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
 * Serves the requests of one connection, one after the other. Runs on the connection's event loop only.
 *
 * <p>Invariant: the next request is looked at only after the answer before it is complete, so an answer can never go
 * to another request of the same connection.
 */
final class ServerConnectionHandler extends ChannelDuplexHandler {
    /** How long a new connection is not idle yet: its first request is on the way. */
    static final long FIRST_REQUEST_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /** Nothing is read while as many messages of pipelined requests wait; what was read before may come on top. */
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
     * Serves a connection.
     *
     * @param closing whether answers are to say that their connection closes
     * @param unanswered counts the requests of all connections that have no whole answer yet
     */
    ServerConnectionHandler(HttpHandler handler, HttpLimits limits, BooleanSupplier closing, AtomicInteger unanswered) {
        this.handler = handler;
        this.limits = limits;
        this.closing = closing;
        this.unanswered = unanswered;
    }

    /** Whether answers are to say that their connection closes. */
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

    /** What was read without a message is the beginning of one. */
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
        // A reader that takes nothing would make the answer pile up in memory; closing shows it the cut.
        if (!context.channel().isWritable()) {
            LOG.get().warn("closing a connection whose reader is too slow");
            context.close();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        LOG.get().debug("connection failed: {}", cause.toString());
        context.close();
    }

    /** Closes the connection unless a request is in progress on it; an answer that is still on its way goes out before. */
    void closeIfIdle(Channel connection) {
        boolean isNew = requests == 0 && nanoTime(connection) - acceptedNanos < FIRST_REQUEST_NANOS;
        if (call == null && !isNew && !headBegun) {
            closeUnannounced(connection);
        }
    }

    /** Stops or continues reading the body of the present request. */
    void holdBodyBack(Channel connection, boolean holdBack) {
        bodyHeldBack = holdBack;
        readAsFitting(connection);
    }

    /** The present answer is complete: looks at the next request, or closes. */
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

    /** An answer that is given within the loop does not begin another one, so the stack stays flat. */
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

    /** Reads on as long as memory allows, since only reading shows that the caller has gone. */
    private void readAsFitting(Channel connection) {
        connection.config().setAutoRead(!bodyHeldBack && waiting.size() < MAX_WAITING_MESSAGES);
    }

    /** Closes a connection whose caller does not expect it: at once, or what comes meanwhile would be read and dropped. */
    private void closeUnannounced(Channel connection) {
        if (lastAnswerGiven) {
            return;
        }
        takeNothingMore(connection);
        connection.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(flushed -> connection.close());
        closeAfterSilentPeriod(connection);
    }

    /**
     * Closes a connection whose caller was told so. One that closes over something unread is reset, and its reader loses
     * what is still on the way: it is read before, or left to the caller to close.
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

    /** Closes the connection of a reader that takes nothing for too long. */
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

    /** A thread that was late may not have read yet what came before the end of the idle period. */
    private void closeUnlessRequestComes(Channel connection, long requestsBefore) {
        RecentRead.thenRun(connection.eventLoop(), () -> {
            if (requests == requestsBefore) {
                closeUnannounced(connection);
            }
        });
    }

    /** Acts once when nothing has gone out for a whole period, unless the timer is cancelled before. */
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
