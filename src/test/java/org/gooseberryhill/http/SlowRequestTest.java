package org.gooseberryhill.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests the time limits of the arrival of a request on one connection, in virtual time. */
class SlowRequestTest {
    private static final HttpLimits LIMITS = HttpLimits.DEFAULT;
    private static final int BODY_BYTES = 100;

    private final AtomicInteger requestsInProgress = new AtomicInteger();
    private final LongAdder timedOutRequests = new LongAdder();
    private final List<HttpCall> calls = new ArrayList<>();
    private final MockTicker ticker = Ticker.newMockTicker();
    private final ServerConnectionHandler handler = new ServerConnectionHandler(
            this::handle, LIMITS, () -> false, requestsInProgress, timedOutRequests, HeldBytes.unbounded());
    private final CallerConnection connection = new CallerConnection(ticker, LIMITS, handler);

    @AfterEach
    void close() {
        connection.finishAndReleaseAll();
    }

    /** Guards against a connection that is held for as long as its caller sends the head of a request byte by byte. */
    @Test
    void aHeadThatArrivesTooSlowlyIsAnsweredAndItsConnectionClosed() {
        for (int second = 0; second < LIMITS.headerTimeoutMillis() / 1000; second++) {
            receive("G");
            advance(1000);
        }
        runIteration();

        assertThat(connection.readText()).startsWith("HTTP/1.1 408").contains("not-run");
        runIteration();
        assertThat(connection.isOpen()).isFalse();
        assertThat(timedOutRequests.sum()).isEqualTo(1);
        assertThat(calls).isEmpty();
    }

    @Test
    void aHeadThatArrivesInPartsWithinTheTimeLimitIsAnswered() {
        receive("GET /one HT");
        advance(LIMITS.headerTimeoutMillis() - 1);
        receive("TP/1.1\r\n\r\n");
        advance(LIMITS.headerTimeoutMillis());
        runIteration();

        assertThat(connection.readText()).endsWith("/one");
        assertThat(connection.isOpen()).isTrue();
        assertThat(timedOutRequests.sum()).isZero();
    }

    /** Guards against a connection that is held by a caller which stops in the middle of a body. */
    @Test
    void aBodyWhoseNextPartDoesNotArriveIsAnsweredAndItsConnectionClosed() {
        receive("POST /one HTTP/1.1\r\ncontent-length: 4\r\n\r\nx");
        advance(LIMITS.idleTimeoutMillis() - 1);
        receive("x");
        advance(LIMITS.idleTimeoutMillis() - 1);
        runIteration();
        assertThat(connection.readText()).isEmpty();

        advance(1);
        runIteration();

        assertThat(connection.readText()).startsWith("HTTP/1.1 408");
        runIteration();
        assertThat(connection.isOpen()).isFalse();
        assertThat(requestsInProgress).hasValue(0);
    }

    /** Guards against a time limit on callers whose body this side does not read at the moment. */
    @Test
    void aPausedBodyIsNotTimedOut() {
        receive("POST /one HTTP/1.1\r\ncontent-length: 4\r\n\r\nx");
        calls.get(0).setBodyReading(false);
        advance(2L * LIMITS.idleTimeoutMillis());
        runIteration();

        assertThat(timedOutRequests.sum()).isZero();
        assertThat(connection.isOpen()).isTrue();
    }

    private RequestBodyHandler handle(HttpCall call) {
        calls.add(call);
        return new BodyCollector(
                BODY_BYTES, body -> call.reply(200, Map.of(), RawEndpoint.ascii(call.path())), () -> {});
    }

    /** Runs one event loop iteration and the tasks that wait for it. */
    private void runIteration() {
        connection.runPendingTasks();
        advance(AfterRead.NEXT_ITERATION_DELAY_MILLIS);
    }

    private void advance(long millis) {
        ticker.advance(millis, TimeUnit.MILLISECONDS);
        connection.runScheduledPendingTasks();
    }

    private void receive(String bytes) {
        connection.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.ISO_8859_1));
    }
}
