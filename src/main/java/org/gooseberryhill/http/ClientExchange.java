package org.gooseberryhill.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.gooseberryhill.contract.Outcome;

/**
 * The client side of one exchange, which uses one connection at a time. Thread-safe: all access to the connection runs on
 * its event loop.
 *
 * <p>Invariants: the outcome becomes may-have-run before the first byte is handed to the connection, so not-run is never
 * reported for a request of which any byte has reached the endpoint. After its end, the exchange does not touch its
 * connection, which another exchange may use by then.
 */
final class ClientExchange implements Exchange {
    private final HttpClient client;
    private final ExchangeRequest request;
    private final ExchangeListener listener;
    private volatile boolean cancelled;
    private volatile Channel channel;
    private boolean paused;
    private Outcome outcome = Outcome.NOT_RUN;
    private boolean ended;
    private int unsentBytes;
    private ScheduledFuture<?> silenceTimer;
    private Optional<PeriodicReading> periodicReading = Optional.empty();
    private volatile long lastActivityNanos = System.nanoTime();
    private volatile boolean silenceCheckPending;

    ClientExchange(HttpClient client, ExchangeRequest request, ExchangeListener listener) {
        this.client = client;
        this.request = request;
        this.listener = listener;
    }

    @Override
    public void cancel() {
        cancelled = true;
        runUnlessEnded(Channel::close);
    }

    @Override
    public void setAnswerReading(boolean reading) {
        runUnlessEnded(connection -> {
            paused = !reading;
            connection.config().setAutoRead(reading);
        });
    }

    @Override
    public long lastActivityNanos() {
        return lastActivityNanos;
    }

    /** Schedules at most one check at a time, so that checks do not pile up on a blocked event loop. */
    @Override
    public void failIfSilentSince(long sinceNanos) {
        if (channel == null || silenceCheckPending) {
            return;
        }
        silenceCheckPending = true;
        runUnlessEnded(
                connection -> AfterRead.run(connection.eventLoop(), () -> failIfStillSilent(connection, sinceNanos)));
    }

    /** Sends the request on a connection; {@code pooled} tells whether it was taken from the pool of idle connections. */
    void begin(Channel connection, boolean pooled) {
        channel = connection;
        connection.eventLoop().execute(() -> send(connection, pooled));
    }

    /** Returns the decision on which responses belong to this exchange. */
    ResponseMatcher responseMatcher() {
        return request.options().responseMatcher();
    }

    /** Returns the method of the request. */
    String method() {
        return request.method();
    }

    boolean hasBody() {
        return request.body().length > 0;
    }

    /** Returns whether the connection has not accepted all bytes of the request's body. */
    boolean hasUnsentBytes() {
        return unsentBytes > 0;
    }

    boolean acceptsUnframed() {
        return request.options().acceptsUnframed();
    }

    void onHead(int status, HttpHeaders headers) {
        if (ended) {
            return;
        }
        recordActivity();
        IdleConnectionPool.recordIdleTimeout(channel, headers);
        if (!cancelled) {
            listener.onHead(status, headers);
        }
        if (!ended && request.options().readPeriodMillis() > 0) {
            periodicReading =
                    Optional.of(new PeriodicReading(channel, request.options().readPeriodMillis()));
        }
    }

    /** Called when all that had arrived on the connection was passed on. */
    void onReadComplete() {
        periodicReading.ifPresent(PeriodicReading::pauseUntilNextPeriod);
    }

    void onBytes(byte[] bytes) {
        recordActivity();
        if (cancelled || ended) {
            return;
        }
        try {
            listener.onBytes(bytes);
        } catch (MalformedAnswerException e) {
            failWith(ExchangeFailure.Kind.MALFORMED, e.getMessage());
        }
    }

    /** Ends the exchange after its complete response. */
    void onEnd(boolean keepAlive) {
        if (!markEnded()) {
            return;
        }
        Channel connection = channel;
        connection.pipeline().get(ClientConnectionHandler.class).detach();
        // An endpoint may answer before it has read the body, which would then be held for as long as the connection is
        // idle.
        if (keepAlive && !cancelled && unsentBytes == 0 && listener.provesEndOfRun()) {
            client.keepForReuse(request.address(), connection);
        } else {
            connection.close();
        }
        if (!cancelled) {
            listener.onEnd();
        }
    }

    void failWith(ExchangeFailure.Kind kind, String detail) {
        fail(new ExchangeFailure(kind, outcome, detail));
    }

    void fail(ExchangeFailure failure) {
        if (!markEnded()) {
            return;
        }
        if (channel != null) {
            channel.close();
        }
        if (!cancelled) {
            listener.onFailure(failure);
        }
    }

    private void send(Channel connection, boolean pooled) {
        if (cancelled) {
            connection.close();
            return;
        }
        if (pooled && !connection.isActive()) {
            // The other side closed the idle connection. No byte was sent, so a new connection is safe.
            client.connect(this, request);
            return;
        }
        if (pooled && !connection.pipeline().get(ClientConnectionHandler.class).isReusableFor(this)) {
            connection.close();
            client.connect(this, request);
            return;
        }
        if (!connection.isActive()) {
            failWith(ExchangeFailure.Kind.CONNECTION_LOST, "the connection closed before anything was sent");
            return;
        }
        connection.pipeline().get(ClientConnectionHandler.class).attach(this);
        outcome = Outcome.MAY_HAVE_RUN;
        lastActivityNanos = System.nanoTime();
        ChannelFuture write = connection.writeAndFlush(httpRequest());
        countUnsent(write);
        write.addListener(done -> {
            if (unsentBytes > 0) {
                releaseUnsent();
            }
            if (!done.isSuccess()) {
                failWith(
                        ExchangeFailure.Kind.CONNECTION_LOST,
                        String.valueOf(done.cause().getMessage()));
            }
        });
        scheduleSilenceCheck(TimeUnit.MILLISECONDS.toNanos(request.options().silenceTimeoutMillis()));
    }

    /** Counts the body unless the endpoint's connection accepted all of it at once. */
    private void countUnsent(ChannelFuture write) {
        if (!write.isDone()) {
            unsentBytes = request.body().length;
            client.heldBytes().add(unsentBytes);
        }
    }

    private void releaseUnsent() {
        client.heldBytes().release(unsentBytes);
        unsentBytes = 0;
    }

    private FullHttpRequest httpRequest() {
        ByteBuf body = Unpooled.wrappedBuffer(request.body());
        FullHttpRequest message = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, HttpMethod.valueOf(request.method()), request.target(), body);
        MessageHeaders.addAll(message.headers(), request.headers());
        if (!message.headers().contains(HttpHeaderNames.HOST)) {
            message.headers().set(HttpHeaderNames.HOST, request.address().toString());
        }
        boolean bodyless = request.body().length == 0 && HttpMethod.GET.name().equals(request.method());
        if (!bodyless) {
            message.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
        }
        return message;
    }

    /** Records that a part of the response has arrived. */
    void recordActivity() {
        lastActivityNanos = System.nanoTime();
    }

    private void scheduleSilenceCheck(long delayNanos) {
        silenceTimer = channel.eventLoop().schedule(this::checkSilence, delayNanos, TimeUnit.NANOSECONDS);
    }

    private void checkSilence() {
        long limitNanos = TimeUnit.MILLISECONDS.toNanos(request.options().silenceTimeoutMillis());
        long leftNanos = limitNanos - (System.nanoTime() - lastActivityNanos);
        if (paused) {
            // Reading is paused on this side, so the endpoint does not count as silent.
            scheduleSilenceCheck(limitNanos);
        } else if (leftNanos <= 0) {
            failWith(
                    ExchangeFailure.Kind.SILENT,
                    "no byte for " + request.options().silenceTimeoutMillis() + " ms");
        } else {
            scheduleSilenceCheck(leftNanos);
        }
    }

    private void failIfStillSilent(Channel connection, long sinceNanos) {
        silenceCheckPending = false;
        boolean sentOnConnection = outcome == Outcome.MAY_HAVE_RUN && channel == connection;
        if (sentOnConnection && !paused && lastActivityNanos == sinceNanos) {
            long silentMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sinceNanos);
            failWith(ExchangeFailure.Kind.SILENT, "no byte for " + silentMillis + " ms");
        }
    }

    /** Runs an action on the connection's event loop, unless the exchange has ended by then. */
    private void runUnlessEnded(Consumer<Channel> action) {
        Channel connection = channel;
        if (connection == null) {
            return;
        }
        connection.eventLoop().execute(() -> {
            if (!ended) {
                action.accept(connection);
            }
        });
    }

    private boolean markEnded() {
        if (ended) {
            return false;
        }
        ended = true;
        periodicReading.ifPresent(PeriodicReading::end);
        periodicReading = Optional.empty();
        if (silenceTimer != null) {
            silenceTimer.cancel(false);
        }
        return true;
    }
}
