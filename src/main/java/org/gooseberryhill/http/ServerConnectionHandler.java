package org.gooseberryhill.http;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.vavr.Lazy;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.BooleanSupplier;
import org.apache.logging.log4j.Logger;
import org.gooseberryhill.logging.LazyLoggers;

/**
 * Serves the requests of one connection sequentially. Runs only on the connection's event loop.
 *
 * <p>Invariant: a request is processed only after the previous response is complete, so a response can never be sent for
 * another request of the same connection.
 */
final class ServerConnectionHandler extends ChannelDuplexHandler {
    /** How long a new connection does not count as idle, since its first request may be in transit. */
    static final long FIRST_REQUEST_GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /** How long the rest of a body that nobody needs is read; a caller takes the response within a round trip. */
    private static final long DISCARD_MILLIS = 2000;

    private static final Lazy<Logger> LOG = LazyLoggers.of(ServerConnectionHandler.class);

    private final HttpHandler handler;
    private final HttpLimits limits;
    private ServerCall call;
    private ConnectionHold hold;
    private QueuedMessages queuedMessages;
    private RequestBodyHandler bodyHandler;
    private boolean bodyComplete;
    private boolean bodyReadingPaused;
    private boolean processingQueued;
    private long requestCount;
    private boolean messageDecoded;
    private boolean partialMessageReceived;
    private boolean discardingInput;
    private boolean callerIsSlow;
    private long acceptedNanos;
    private final BooleanSupplier closesAfterResponse;
    private final AtomicInteger requestsInProgress;
    private final LongAdder timedOutRequests;
    private final HeldBytes heldBytes;
    private RequestArrivalTimer arrivalTimer;
    private final IdleTimer idleTimer;

    /**
     * Creates the handler of a connection.
     *
     * @param closesAfterResponse whether responses announce that their connection closes
     * @param requestsInProgress counts the requests of all connections whose response is not complete
     * @param timedOutRequests counts the requests of all connections that did not arrive completely in time
     * @param heldBytes counts the bytes that all connections hold
     */
    ServerConnectionHandler(
            HttpHandler handler,
            HttpLimits limits,
            BooleanSupplier closesAfterResponse,
            AtomicInteger requestsInProgress,
            LongAdder timedOutRequests,
            HeldBytes heldBytes) {
        this.handler = handler;
        this.limits = limits;
        this.idleTimer = new IdleTimer(limits.idleTimeoutMillis());
        this.closesAfterResponse = closesAfterResponse;
        this.requestsInProgress = requestsInProgress;
        this.timedOutRequests = timedOutRequests;
        this.heldBytes = heldBytes;
    }

    /** Returns whether responses announce that their connection closes. */
    boolean closesAfterResponse() {
        return closesAfterResponse.getAsBoolean();
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        acceptedNanos = nanoTime(context.channel());
        hold = new ConnectionHold(heldBytes, context.channel());
        queuedMessages = new QueuedMessages(hold);
        arrivalTimer = new RequestArrivalTimer(() -> rejectSlow(context));
        startIdleTimeout(context.channel());
        context.fireChannelActive();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        HttpObject object = (HttpObject) message;
        messageDecoded = true;
        partialMessageReceived = false;
        if (discardingInput) {
            ReferenceCountUtil.release(object);
            return;
        }
        boolean belongsToNextRequest = call != null && bodyComplete;
        if (belongsToNextRequest || !queuedMessages.isEmpty()) {
            queuedMessages.add(object);
            updateAutoRead(context.channel());
            return;
        }
        processMessage(context, object);
    }

    /** Bytes that were read without completing a message are the beginning of one. */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        partialMessageReceived = partialMessageReceived || !messageDecoded;
        if (messageDecoded || isAwaitingBody()) {
            arrivalTimer.stop();
        }
        messageDecoded = false;
        startArrivalTimeoutIfAwaiting(context.channel());
        context.fireChannelReadComplete();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        idleTimer.cancel();
        arrivalTimer.stop();
        queuedMessages.releaseAll();
        hold.closed();
        if (call != null) {
            if (bodyHandler != null && !bodyComplete) {
                bodyHandler.onAborted();
            }
            call.handleDisconnect();
            requestsInProgress.decrementAndGet();
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
        boolean isNew = requestCount == 0 && nanoTime(connection) - acceptedNanos < FIRST_REQUEST_GRACE_NANOS;
        if (call == null && !isNew && !partialMessageReceived) {
            closeIdleConnection(connection);
        }
    }

    /** Returns the request in progress; called on the event loop. */
    Optional<HttpCall> openCall() {
        return Optional.ofNullable(call);
    }

    /** Returns whether the body of the current request has not arrived completely. */
    boolean hasUnreadBody() {
        return !bodyComplete;
    }

    /** Returns the counts of the bytes that the connection holds. */
    ConnectionHold hold() {
        return hold;
    }

    /** Pauses or resumes reading the body of the current request. */
    void setBodyReadingPaused(Channel connection, boolean paused) {
        bodyReadingPaused = paused;
        arrivalTimer.stop();
        startArrivalTimeoutIfAwaiting(connection);
        updateAutoRead(connection);
    }

    /** Called when the current response is complete: processes the next request, or closes the connection. */
    void responseCompleted(ChannelHandlerContext context, boolean keepAlive) {
        hold.requestEnded();
        boolean unreadBody = !bodyComplete;
        call = null;
        bodyReadingPaused = false;
        requestsInProgress.decrementAndGet();
        if (unreadBody && !callerIsSlow) {
            closeWhileBodyArrives(context.channel());
            return;
        }
        if (!keepAlive || unreadBody) {
            closeAfterFinalResponse(context.channel());
            return;
        }
        startIdleTimeout(context.channel());
        startArrivalTimeoutIfAwaiting(context.channel());
        processQueued(context);
    }

    /** Processes queued requests. A response given inside the loop does not start another loop, which bounds the stack depth. */
    private void processQueued(ChannelHandlerContext context) {
        if (processingQueued) {
            return;
        }
        processingQueued = true;
        try {
            while (!discardingInput && !queuedMessages.isEmpty() && (call == null || !bodyComplete)) {
                processMessage(context, queuedMessages.poll());
            }
        } finally {
            processingQueued = false;
            updateAutoRead(context.channel());
        }
    }

    /** Reads unless the queue is full or the body is paused, since only reading detects that the caller has disconnected. */
    private void updateAutoRead(Channel connection) {
        connection.config().setAutoRead(!bodyReadingPaused && !queuedMessages.isFull());
    }

    /**
     * Closes an idle connection without having announced the close to the caller. The close follows the flush at once,
     * since requests that arrive before the close would be read and discarded.
     */
    private void closeIdleConnection(Channel connection) {
        if (discardingInput) {
            return;
        }
        discardFurtherInput(connection);
        connection.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(flushed -> connection.close());
        closeIfWriteStalls(connection);
    }

    /**
     * Closes a connection after its response announced the close. Closing a socket with unread data resets the connection, and
     * the caller loses the part of the response that is still in transit. So the data is read first; if reading is off, only
     * the output is shut down and the caller closes the connection.
     */
    private void closeAfterFinalResponse(Channel connection) {
        if (discardingInput) {
            return;
        }
        boolean hasUnread = !connection.config().isAutoRead();
        discardFurtherInput(connection);
        Runnable close = hasUnread && connection instanceof DuplexChannel duplexConnection
                ? duplexConnection::shutdownOutput
                : () -> AfterRead.run(connection.eventLoop(), connection::close);
        connection.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(flushed -> close.run());
        closeIfWriteStalls(connection);
    }

    /**
     * Closes a connection whose response was given before the body was complete. A close while more of the body arrives would
     * reset the connection, and the caller could lose the response; so the rest is read and discarded for some time.
     */
    private void closeWhileBodyArrives(Channel connection) {
        if (!(connection instanceof DuplexChannel duplexConnection)) {
            closeAfterFinalResponse(connection);
            return;
        }
        discardFurtherInput(connection);
        connection.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(flushed -> duplexConnection.shutdownOutput());
        connection.eventLoop().schedule(() -> connection.close(), DISCARD_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void discardFurtherInput(Channel connection) {
        discardingInput = true;
        idleTimer.cancel();
        arrivalTimer.stop();
        queuedMessages.releaseAll();
        updateAutoRead(connection);
    }

    /** Closes the connection if no byte is sent for a whole idle period, because the reader has stalled. */
    private void closeIfWriteStalls(Channel connection) {
        if (connection.isOpen()) {
            idleTimer.start(connection, connection::close);
        }
    }

    private void processMessage(ChannelHandlerContext context, HttpObject object) {
        try {
            if (object.decoderResult().isFailure()) {
                rejectUnread(
                        context,
                        RejectionResponse.malformed(object.decoderResult().cause()));
                return;
            }
            if (object instanceof HttpRequest request) {
                beginRequest(context, request);
            }
            if (object instanceof HttpContent content) {
                processBody(content);
            }
        } finally {
            ReferenceCountUtil.release(object);
        }
    }

    private void beginRequest(ChannelHandlerContext context, HttpRequest request) {
        idleTimer.cancel();
        requestCount++;
        requestsInProgress.incrementAndGet();
        bodyComplete = false;
        if (HttpUtil.is100ContinueExpected(request)) {
            context.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
        ServerCall newCall = new ServerCall(context, this, request);
        call = newCall;
        bodyHandler = handler.handle(newCall);
    }

    private void processBody(HttpContent content) {
        if (bodyHandler == null) {
            return;
        }
        if (content.content().isReadable()) {
            hold.requestBytesReceived(content.content().readableBytes());
            bodyHandler.onBytes(ByteBufUtil.getBytes(content.content()));
        }
        if (content instanceof LastHttpContent) {
            RequestBodyHandler completedHandler = bodyHandler;
            bodyHandler = null;
            bodyComplete = true;
            completedHandler.onEnd();
        }
    }

    private boolean isAwaitingBody() {
        return call != null && !bodyComplete && !bodyReadingPaused;
    }

    private void startArrivalTimeoutIfAwaiting(Channel connection) {
        if (discardingInput) {
            return;
        }
        if (isAwaitingBody()) {
            arrivalTimer.startIfStopped(connection.eventLoop(), limits.idleTimeoutMillis());
        } else if (call == null && partialMessageReceived) {
            arrivalTimer.startIfStopped(connection.eventLoop(), limits.headerTimeoutMillis());
        }
    }

    /** Rejects a request whose next part has not arrived in time; none of it has been passed on. */
    private void rejectSlow(ChannelHandlerContext context) {
        timedOutRequests.increment();
        if (call == null) {
            rejectUnread(context, RejectionResponse.timedOut());
            return;
        }
        callerIsSlow = true;
        RequestBodyHandler aborted = bodyHandler;
        bodyHandler = null;
        RejectionResponse.timedOut().sendTo(call);
        if (aborted != null) {
            aborted.onAborted();
        }
    }

    private void rejectUnread(ChannelHandlerContext context, RejectionResponse rejection) {
        context.write(rejection.toHttp());
        closeAfterFinalResponse(context.channel());
    }

    private void startIdleTimeout(Channel connection) {
        idleTimer.start(connection, () -> closeUnlessRequestArrives(connection, requestCount));
    }

    /**
     * Closes the connection as idle unless a request is read before that: a delayed event loop thread may not have read a
     * request that arrived before the end of the idle period.
     */
    private void closeUnlessRequestArrives(Channel connection, long requestCountBefore) {
        AfterRead.run(connection.eventLoop(), () -> {
            if (requestCount == requestCountBefore) {
                closeIdleConnection(connection);
            }
        });
    }

    private static long nanoTime(Channel connection) {
        return connection.eventLoop().ticker().nanoTime();
    }
}
