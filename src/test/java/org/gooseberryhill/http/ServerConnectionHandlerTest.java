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
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests one connection without a socket, in virtual time. */
class ServerConnectionHandlerTest {
    private static final HttpLimits LIMITS = HttpLimits.DEFAULT;
    private static final long FIRST_REQUEST_GRACE_MILLIS =
            TimeUnit.NANOSECONDS.toMillis(ServerConnectionHandler.FIRST_REQUEST_GRACE_NANOS);
    private static final int BODY_BYTES = 100;
    private static final String SMALL_REQUEST = "GET /one HTTP/1.1\r\nhost: h\r\n\r\n";
    private static final int MANY_REQUESTS = 5_000;
    private static final int MANY_PIECES = BODY_BYTES;
    private static final int PIECE_BYTES = 1024;
    private static final int LARGE_ANSWER_PIECES = 10;
    private static final String LARGE_ANSWER = "x".repeat(LARGE_ANSWER_PIECES * PIECE_BYTES);

    private final AtomicBoolean closesAfterResponse = new AtomicBoolean();
    private final AtomicInteger requestsInProgress = new AtomicInteger();
    private final List<String> startedPaths = new ArrayList<>();
    private final List<HttpCall> heldCalls = new ArrayList<>();
    private final MockTicker ticker = Ticker.newMockTicker();
    private final ServerConnectionHandler handler = new ServerConnectionHandler(
            this::handle, LIMITS, closesAfterResponse::get, requestsInProgress, new LongAdder(), HeldBytes.unbounded());
    private final CallerConnection connection = new CallerConnection(ticker, LIMITS, handler);

    @AfterEach
    void close() {
        connection.finishAndReleaseAll();
    }

    /** Guards against starting a request after the last response of its connection, which the close would then cut off. */
    @Test
    void aPipelinedRequestAfterTheLastAnswerIsNotStarted() {
        receive("GET /held HTTP/1.1\r\n\r\nGET /one HTTP/1.1\r\n\r\nGET /held HTTP/1.1\r\n\r\n");
        HttpCall heldCall = heldCalls.remove(0);
        heldCall.beginStream(200, Map.of());
        closesAfterResponse.set(true);
        connection.readUpTo(0);

        heldCall.endStream();
        connection.readUpTo(Long.MAX_VALUE);

        runIteration();

        assertThat(startedPaths).containsExactly("/held", "/one");
        assertThat(connection.readText()).contains("connection: close").endsWith("/one");
        assertThat(requestsInProgress).hasValue(0);
        assertThat(connection.isOpen()).isFalse();
    }

    /** Guards against cutting off the last response while a slow reader is still reading it. */
    @Test
    void aSlowReaderReceivesItsLastAnswerCompletely() {
        connection.readUpTo(0);
        receive("GET /large HTTP/1.1\r\nconnection: close\r\n\r\n");

        readLargeAnswerSlowly();
        runIteration();

        assertThat(connection.readText()).endsWith(LARGE_ANSWER);
        assertThat(connection.isOpen()).isFalse();
    }

    /** Guards against closing a keep-alive connection as idle while a slow reader is still reading the response. */
    @Test
    void aSlowReaderKeepsItsConnection() {
        connection.readUpTo(0);
        receive("GET /large HTTP/1.1\r\n\r\n");
        readLargeAnswerSlowly();
        assertThat(connection.readText()).endsWith(LARGE_ANSWER);

        connection.readUpTo(Long.MAX_VALUE);
        receive("GET /one HTTP/1.1\r\n\r\n");

        assertThat(connection.readText()).endsWith("/one");
    }

    /** Guards against a connection that stays open forever because its reader stalled in the middle of the last response. */
    @Test
    void aReaderThatReadsNothingForAWholeIdlePeriodIsDisconnected() {
        connection.readUpTo(0);
        receive("GET /large HTTP/1.1\r\nconnection: close\r\n\r\n");
        connection.readUpTo(PIECE_BYTES);
        advanceHalfIdlePeriod();
        advanceHalfIdlePeriod();
        advanceHalfIdlePeriod();
        assertThat(connection.isOpen()).isTrue();

        advanceHalfIdlePeriod();

        assertThat(connection.isOpen()).isFalse();
    }

    /** Guards against a keep-alive connection that stays open forever because its reader stalled inside a response. */
    @Test
    void aKeepAliveConnectionWhoseReaderReadsNothingIsClosed() {
        connection.readUpTo(0);
        receive("GET /large HTTP/1.1\r\n\r\n");

        advanceHalfIdlePeriod();
        advanceHalfIdlePeriod();
        runIteration();
        advanceHalfIdlePeriod();
        advanceHalfIdlePeriod();

        assertThat(connection.isOpen()).isFalse();
    }

    /** Guards against an idle period that restarts although no bytes are being sent. */
    @Test
    void aConnectionWithoutRequestsIsClosedAfterOneIdlePeriod() {
        receive("GET /one HTTP/1.1\r\n\r\n");

        advance(LIMITS.idleTimeoutMillis() - 1);
        assertThat(connection.isOpen()).isTrue();
        advance(1);
        runIteration();

        assertThat(connection.isOpen()).isFalse();
    }

    /** Guards against closing a new connection while its first request is in transit. */
    @Test
    void aNewConnectionIsNotClosedAsIdle() {
        handler.closeIfIdle(connection);
        advance(FIRST_REQUEST_GRACE_MILLIS - 1);
        handler.closeIfIdle(connection);

        receive("GET /one HTTP/1.1\r\n\r\n");

        assertThat(connection.readText()).endsWith("/one");
    }

    /** Guards against a stop that waits for connections that never receive a request. */
    @Test
    void aConnectionOnWhichNoRequestComesIsClosedAsIdle() {
        advance(FIRST_REQUEST_GRACE_MILLIS);

        handler.closeIfIdle(connection);
        runIteration();

        assertThat(connection.isOpen()).isFalse();
    }

    /** Guards against cutting off a response because many requests are pipelined after it. */
    @Test
    void manyPipelinedRequestsWaitForTheAnswerInProgress() {
        receive("GET /held HTTP/1.1\r\n\r\n");

        receive("GET /one HTTP/1.1\r\n\r\n".repeat(MANY_REQUESTS));
        assertThat(connection.isOpen()).isTrue();
        assertThat(connection.config().isAutoRead()).isFalse();
        heldCalls.remove(0).reply(200, Map.of(), RawEndpoint.ascii("/held"));

        assertThat(startedPaths).hasSize(1 + MANY_REQUESTS);
        assertThat(connection.readText().split("/one", -1)).hasSize(1 + MANY_REQUESTS);
        assertThat(connection.readText()).endsWith("/one");
        assertThat(connection.config().isAutoRead()).isTrue();
    }

    /** Guards against cutting off a response because a request with a large body is pipelined after it. */
    @Test
    void aPipelinedRequestWithALargeBodyWaitsForTheAnswerInProgress() {
        receive("GET /held HTTP/1.1\r\n\r\nPOST /one HTTP/1.1\r\ncontent-length: " + MANY_PIECES + "\r\n\r\n");
        receiveBodyPieces(MANY_PIECES - 1);
        assertThat(connection.isOpen()).isTrue();
        assertThat(connection.config().isAutoRead()).isFalse();

        heldCalls.remove(0).reply(200, Map.of(), RawEndpoint.ascii("/held"));
        assertThat(connection.config().isAutoRead()).isTrue();
        receiveBodyPieces(1);

        assertThat(connection.readText()).contains("/held").endsWith("/one");
    }

    /** Guards against missing that a caller disconnects while a few requests are queued. */
    @Test
    void readingContinuesWhileFewRequestsAreQueued() {
        receive("GET /held HTTP/1.1\r\n\r\nGET /one HTTP/1.1\r\n\r\n");

        assertThat(connection.config().isAutoRead()).isTrue();
    }

    /** Guards against unbounded memory when the handler of the request in progress resumes reading its body. */
    @Test
    void resumingTheBodyDoesNotResumeReadingWhileManyRequestsAreQueued() {
        receive("GET /held HTTP/1.1\r\n\r\n" + "GET /one HTTP/1.1\r\n\r\n".repeat(MANY_REQUESTS));

        heldCalls.get(0).setBodyReading(false);
        heldCalls.get(0).setBodyReading(true);

        assertThat(connection.config().isAutoRead()).isFalse();
    }

    /** Guards against a connection that is never read again because the body of an answered request was paused. */
    @Test
    void readingOfAPausedBodyResumesAfterTheAnswer() {
        receive("GET /held HTTP/1.1\r\n\r\n");
        heldCalls.get(0).setBodyReading(false);
        assertThat(connection.config().isAutoRead()).isFalse();

        heldCalls.remove(0).reply(200, Map.of(), RawEndpoint.ascii("/held"));

        assertThat(connection.config().isAutoRead()).isTrue();
    }

    /** Guards against a connection that stays open until its timeout because the disconnect of its caller is never read. */
    @Test
    void readingResumesWithTheLastAnswer() {
        receive("GET /held HTTP/1.1\r\n\r\n" + "GET /one HTTP/1.1\r\n\r\n".repeat(MANY_REQUESTS));
        closesAfterResponse.set(true);
        connection.readUpTo(0);

        heldCalls.remove(0).reply(200, Map.of(), RawEndpoint.ascii("/held"));

        assertThat(connection.config().isAutoRead()).isTrue();
    }

    /** Guards against losing a request whose connection is closed as idle while its head is partly received. */
    @Test
    void aConnectionWithAPartlyReceivedHeadIsNotClosedAsIdle() {
        for (int received = 1; received < SMALL_REQUEST.length(); received++) {
            receive(SMALL_REQUEST.substring(0, received));
            advance(FIRST_REQUEST_GRACE_MILLIS);

            handler.closeIfIdle(connection);
            receive(SMALL_REQUEST.substring(received));

            assertThat(startedPaths).hasSize(received);
        }
        assertThat(connection.readText()).endsWith("/one");
    }

    /** Guards against a stop that waits for a connection because its last request arrived in two parts. */
    @Test
    void aConnectionWhoseRequestArrivedInPartsIsClosedAsIdleAfterItsAnswer() {
        receive("GET /one HT");
        receive("TP/1.1\r\n\r\n");

        handler.closeIfIdle(connection);
        runIteration();

        assertThat(connection.isOpen()).isFalse();
        assertThat(connection.readText()).endsWith("/one");
    }

    /** Guards against reading and discarding a request on a connection that is already being closed as idle. */
    @Test
    void anIdleConnectionClosesAtOnceSoThatNoRequestIsReadAndDiscarded() {
        receive("GET /one HTTP/1.1\r\n\r\n");

        handler.closeIfIdle(connection);

        assertThat(connection.isOpen()).isFalse();
    }

    /** Guards against discarding a request that a delayed thread reads only after the end of the idle period. */
    @Test
    void aRequestThatIsReadRightAfterTheIdlePeriodIsAnswered() {
        advance(LIMITS.idleTimeoutMillis());

        receive("GET /one HTTP/1.1\r\n\r\n");
        runIteration();

        assertThat(connection.readText()).endsWith("/one");
        assertThat(connection.isOpen()).isTrue();
    }

    /** Guards against losing a response to a reset because bytes from the caller were unread at the close. */
    @Test
    void bytesReceivedDuringTheLastAnswerAreReadAndDiscardedBeforeTheClose() {
        receive("GET /one HTTP/1.1\r\nconnection: close\r\n\r\n");
        assertThat(connection.readText()).endsWith("/one");
        assertThat(connection.isOpen()).isTrue();

        receive("GET /two HTTP/1.1\r\n\r\n");
        runIteration();

        assertThat(connection.isOpen()).isFalse();
        assertThat(startedPaths).containsExactly("/one");
    }

    /** Guards against losing an error response to a reset because the rest of the request was unread at the close. */
    @Test
    void bytesReceivedAfterAMalformedRequestAreReadAndDiscardedBeforeTheClose() {
        receive("what is this\r\n\r\n");
        assertThat(connection.readText()).startsWith("HTTP/1.1 400");
        assertThat(connection.isOpen()).isTrue();

        receive("GET /two HTTP/1.1\r\n\r\n");
        runIteration();

        assertThat(connection.isOpen()).isFalse();
        assertThat(startedPaths).isEmpty();
    }

    private RequestBodyHandler handle(HttpCall call) {
        startedPaths.add(call.path());
        if (call.path().equals("/held")) {
            heldCalls.add(call);
            return new BodyCollector(BODY_BYTES, body -> {}, () -> {});
        }
        String answer = call.path().equals("/large") ? LARGE_ANSWER : call.path();
        return new BodyCollector(BODY_BYTES, body -> call.reply(200, Map.of(), RawEndpoint.ascii(answer)), () -> {});
    }

    /** Reads one piece of the response in each half of an idle period. */
    private void readLargeAnswerSlowly() {
        for (int pieces = 0; pieces <= LARGE_ANSWER_PIECES; pieces++) {
            connection.readUpTo(PIECE_BYTES);
            advanceHalfIdlePeriod();
        }
    }

    /** Runs one event loop iteration and the tasks that wait for it. */
    private void runIteration() {
        connection.runPendingTasks();
        advance(AfterRead.NEXT_ITERATION_DELAY_MILLIS);
    }

    private void advanceHalfIdlePeriod() {
        advance(LIMITS.idleTimeoutMillis() / 2);
    }

    private void advance(long millis) {
        ticker.advance(millis, TimeUnit.MILLISECONDS);
        connection.runScheduledPendingTasks();
    }

    private void receiveBodyPieces(int pieces) {
        for (int i = 0; i < pieces; i++) {
            receive("x");
        }
    }

    private void receive(String bytes) {
        connection.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.ISO_8859_1));
    }
}
