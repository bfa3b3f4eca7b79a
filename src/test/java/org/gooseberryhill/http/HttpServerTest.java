package org.gooseberryhill.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.gooseberryhill.Loopback;
import org.gooseberryhill.link.Address;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class HttpServerTest {
    private static final HttpLimits LIMITS = limits(HttpLimits.DEFAULT.idleTimeoutMillis());
    private static final int SHORT_IDLE_MILLIS = 200;
    private static final int SMALL_ANSWER_BYTES = 1024;

    /** Ends a test that would otherwise hang; shorter than the default idle timeout. */
    private static final int READ_TIMEOUT_MILLIS = 10_000;

    private static final int LARGE_ANSWER_BYTES = 8 * 1024 * 1024;
    private static final int UNREAD_BYTES = 16 * 1024;
    private static final int UNREAD_ANSWER_BYTES = 256 * 1024;
    private static final int UPLOAD_BYTES = 8 * 1024 * 1024;
    private static final int RECEIVE_BUFFER_BYTES = 64 * 1024;

    private final EventLoopGroup group = Loopback.newEventLoopGroup();
    private final Address address = Loopback.freeAddress();
    private final AtomicInteger disconnects = new AtomicInteger();
    private final AtomicInteger largeAnswers = new AtomicInteger();
    private final Queue<HttpCall> heldCalls = new ConcurrentLinkedQueue<>();
    private final HttpServer server = HttpServer.start(group, address, LIMITS, this::handle);

    @AfterEach
    void close() {
        server.close();
        group.shutdownGracefully();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "what is this\r\n\r\n",
                "GET / HTTP/1.1\r\nbad header\u0001: x\r\n\r\n",
                "POST / HTTP/1.1\r\ncontent-length: many\r\n\r\n",
                "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n"
            })
    void malformedHttpGetsAnErrorAndAClosedConnection(String request) throws IOException {
        String answer = send(request);

        assertThat(answer).startsWith("HTTP/1.1 400").contains("\"code\":\"invalid-request\"", "connection: close");
    }

    @Test
    void headersBeyondTheLimitAreRefused() throws IOException {
        assertThat(send("GET / HTTP/1.1\r\nx: " + "y".repeat(1000) + "\r\n\r\n"))
                .startsWith("HTTP/1.1 400");
        assertThat(send("GET /" + "y".repeat(1000) + " HTTP/1.1\r\n\r\n")).startsWith("HTTP/1.1 400");
    }

    /** Guards against a connection that is never read again after a large request was queued during a response. */
    @Test
    void aLargePipelinedRequestIsReadAfterTheAnswerInProgress() throws Exception {
        try (Socket caller = new Socket(address.ip(), address.port())) {
            caller.setSoTimeout(READ_TIMEOUT_MILLIS);
            caller.getOutputStream().write(RawEndpoint.ascii("GET /held HTTP/1.1\r\n\r\n"));
            Loopback.await("the request", () -> !heldCalls.isEmpty());
            CompletableFuture<Void> sent = CompletableFuture.runAsync(() -> upload(caller));

            heldCalls.remove().reply(200, Map.of(), RawEndpoint.ascii("first"));

            assertThat(new String(caller.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1))
                    .contains("first")
                    .endsWith("received " + UPLOAD_BYTES);
            sent.get();
        }
    }

    /** Two requests that arrive together must be answered in their order, each completely. */
    @Test
    void pipelinedRequestsAreAnsweredInOrder() throws IOException {
        String answer = send("GET /one HTTP/1.1\r\n\r\nGET /two HTTP/1.1\r\nconnection: close\r\n\r\n");

        assertThat(answer.indexOf("/one")).isPositive().isLessThan(answer.indexOf("/two"));
    }

    /** Guards against a process that ends while a caller is connected, whose next request would be lost. */
    @Test
    void aServerIsDrainedOnlyWhenItsLastConnectionHasEnded() throws IOException {
        try (Socket caller = new Socket(address.ip(), address.port())) {
            caller.getOutputStream().write(RawEndpoint.ascii("GET /stream HTTP/1.1\r\n\r\n"));
            assertThat(caller.getInputStream().read()).isPositive();

            server.stopListening();
            server.closeIdle();
            Loopback.await("the end of listening", () -> !acceptsConnections());

            assertThat(server.isDrained()).isFalse();
            assertThat(server.requestsInProgress()).isEqualTo(1);
        }

        Loopback.await("the end of the last connection", server::isDrained);
        assertThat(server.requestsInProgress()).isZero();
    }

    /** Guards against a process that ends while callers can still connect to it. */
    @Test
    void aServerThatListensIsNotDrained() {
        assertThat(server.isDrained()).isFalse();

        server.stopListening();

        Loopback.await("the end of listening", server::isDrained);
    }

    /** Guards against a stop that waits for requests that are already answered. */
    @Test
    void aRequestIsNoLongerInProgressOnceItsAnswerIsComplete() throws IOException {
        try (Socket caller = new Socket(address.ip(), address.port())) {
            caller.getOutputStream().write(RawEndpoint.ascii("GET /held HTTP/1.1\r\n\r\n"));
            Loopback.await("the request", () -> server.requestsInProgress() == 1 && !heldCalls.isEmpty());

            heldCalls.remove().reply(200, Map.of(), RawEndpoint.ascii("whole"));

            Loopback.await("its answer", () -> server.requestsInProgress() == 0);
            assertThat(server.openConnections()).isEqualTo(1);
        }
    }

    /** Guards against a request that is never read because the handler of the previous one paused the connection late. */
    @Test
    void pausingTheBodyOfAnAnsweredRequestDoesNotPauseTheNextOne() throws IOException {
        try (Socket caller = new Socket(address.ip(), address.port())) {
            caller.getOutputStream().write(RawEndpoint.ascii("GET /held HTTP/1.1\r\n\r\n"));
            Loopback.await("the request", () -> !heldCalls.isEmpty());
            HttpCall answeredCall = heldCalls.remove();
            answeredCall.reply(200, Map.of(), RawEndpoint.ascii("whole"));
            assertThat(caller.getInputStream().read(new byte[SMALL_ANSWER_BYTES]))
                    .isPositive();

            answeredCall.setBodyReading(false);
            caller.getOutputStream().write(RawEndpoint.ascii("GET /held HTTP/1.1\r\n\r\n"));

            Loopback.await("the next request", () -> !heldCalls.isEmpty());
        }
    }

    /** Guards against a stop that waits for idle connections until their idle timeout. */
    @Test
    void closingIdleConnectionsClosesOneWhoseRequestIsAnswered() throws IOException {
        Address defaultServerAddress = Loopback.freeAddress();
        HttpServer defaultServer = HttpServer.start(group, defaultServerAddress, HttpLimits.DEFAULT, this::handle);
        try (defaultServer;
                Socket caller = new Socket(defaultServerAddress.ip(), defaultServerAddress.port())) {
            caller.setSoTimeout(READ_TIMEOUT_MILLIS);
            caller.getOutputStream().write(RawEndpoint.ascii("GET /one HTTP/1.1\r\n\r\n"));
            assertThat(caller.getInputStream().read()).isPositive();
            Loopback.await("the answer", () -> defaultServer.requestsInProgress() == 0);

            defaultServer.closeIdle();

            assertThat(caller.getInputStream().readAllBytes()).isNotEmpty();
        }
    }

    /** Guards against closing a connection as idle, and cutting off the response, while the caller is still reading it. */
    @Test
    void closingIdleConnectionsDoesNotCutOffAnAnswerInTransit() throws IOException {
        try (Socket caller = slowReader()) {
            caller.getOutputStream().write(RawEndpoint.ascii("GET /large HTTP/1.1\r\n\r\n"));
            Loopback.await("the answer", () -> largeAnswers.get() == 1 && server.requestsInProgress() == 0);

            server.closeIdle();

            assertThat(caller.getInputStream().readAllBytes()).hasSizeGreaterThan(LARGE_ANSWER_BYTES);
        }
    }

    /** Guards against a last response that is truncated because the host closes while bytes from the caller are unread. */
    @Test
    void theLastAnswerArrivesCompletelyAlthoughBytesFromTheCallerAreUnread() throws IOException {
        try (Socket caller = slowReader()) {
            caller.setSoTimeout(READ_TIMEOUT_MILLIS);
            caller.getOutputStream().write(RawEndpoint.ascii("GET /held HTTP/1.1\r\nconnection: close\r\n\r\n"));
            Loopback.await("the request", () -> !heldCalls.isEmpty());
            HttpCall call = heldCalls.remove();
            call.beginStream(200, Map.of());
            call.setBodyReading(false);
            call.write(new byte[1]).join();
            caller.getOutputStream().write(new byte[UNREAD_BYTES]);

            call.write(new byte[UNREAD_ANSWER_BYTES]);
            call.endStream();
            Loopback.await("the end of the answer", () -> server.requestsInProgress() == 0);

            assertThat(caller.getInputStream().readAllBytes()).hasSizeGreaterThan(UNREAD_ANSWER_BYTES);
        }
    }

    /** Guards against accepting a request after the last response of its connection, which the close would then cut off. */
    @Test
    void noRequestIsAcceptedAfterTheLastAnswerOfAConnection() throws IOException {
        server.closeAfterResponses();
        try (Socket caller = slowReader()) {
            caller.getOutputStream().write(RawEndpoint.ascii("GET /large HTTP/1.1\r\n\r\n"));
            Loopback.await("the answer", () -> largeAnswers.get() == 1 && server.requestsInProgress() == 0);

            caller.getOutputStream().write(RawEndpoint.ascii("GET /held HTTP/1.1\r\n\r\n"));

            assertThat(caller.getInputStream().readAllBytes()).hasSizeGreaterThan(LARGE_ANSWER_BYTES);
            assertThat(heldCalls).isEmpty();
        }
    }

    /** Guards against a caller that waits until the idle timeout because an error reply follows the start of its response. */
    @Test
    void aReplyAfterTheAnswerHasBegunAbortsIt() throws IOException {
        Address defaultServerAddress = Loopback.freeAddress();
        HttpServer defaultServer = HttpServer.start(group, defaultServerAddress, HttpLimits.DEFAULT, this::handle);
        try (defaultServer;
                Socket caller = new Socket(defaultServerAddress.ip(), defaultServerAddress.port())) {
            caller.setSoTimeout(READ_TIMEOUT_MILLIS);
            caller.getOutputStream().write(RawEndpoint.ascii("GET /held HTTP/1.1\r\n\r\n"));
            Loopback.await("the request", () -> !heldCalls.isEmpty());
            HttpCall call = heldCalls.remove();
            call.beginStream(200, Map.of());
            call.write(RawEndpoint.ascii("part")).join();

            call.reply(504, Map.of(), RawEndpoint.ascii("late"));

            String answer = new String(caller.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
            assertThat(answer).endsWith("part\r\n");
        }
    }

    @Test
    void anIdleConnectionIsClosed() throws IOException {
        Address shortIdleServerAddress = Loopback.freeAddress();
        HttpServer shortIdleServer =
                HttpServer.start(group, shortIdleServerAddress, limits(SHORT_IDLE_MILLIS), this::handle);
        try (shortIdleServer;
                Socket caller = new Socket(shortIdleServerAddress.ip(), shortIdleServerAddress.port())) {
            caller.setSoTimeout(READ_TIMEOUT_MILLIS);

            assertThat(caller.getInputStream().readAllBytes()).isEmpty();
        }
    }

    /** A handler must learn that its caller disconnected during a streamed response, so that it can stop the work. */
    @Test
    void aCallerThatDisconnectsIsDetected() throws IOException {
        try (Socket socket = new Socket(address.ip(), address.port())) {
            socket.getOutputStream().write(RawEndpoint.ascii("GET /stream HTTP/1.1\r\n\r\n"));
            assertThat(socket.getInputStream().read()).isPositive();
        }

        Loopback.await("the disconnect", () -> disconnects.get() == 1);
    }

    /** The connection of an aborted stream must close without the last chunk. */
    @Test
    void anAbortedStreamHasNoLastChunk() throws IOException {
        String answer = send("GET /abort HTTP/1.1\r\n\r\n");

        assertThat(answer).contains("part").doesNotContain("\r\n0\r\n");
    }

    @Test
    void aStreamWithoutChunksEndsWithItsConnection() throws IOException {
        String answer = send("GET /unframed HTTP/1.1\r\n\r\n");

        assertThat(answer)
                .contains("connection: close")
                .doesNotContain("chunked")
                .endsWith("\r\n\r\npart");
    }

    /** Guards against an aborted response that looks complete, since a close is the end of a response without chunks. */
    @Test
    void anAbortedStreamWithoutChunksResetsItsConnection() {
        assertThatThrownBy(() -> send("GET /unframed-abort HTTP/1.1\r\n\r\n")).isInstanceOf(SocketException.class);
    }

    private static HttpLimits limits(int idleMillis) {
        return new HttpLimits(512, 256, idleMillis, 16 * 1024 * 1024, 1000, ConnectionLimits.DEFAULT);
    }

    private RequestBodyHandler handle(HttpCall call) {
        call.onDisconnect(disconnects::incrementAndGet);
        if (call.path().equals("/stream")) {
            call.beginStream(200, Map.of());
            call.write(RawEndpoint.ascii("part"));
            return new BodyCollector(100, body -> {}, () -> {});
        }
        if (call.path().equals("/large")) {
            call.reply(200, Map.of(), new byte[LARGE_ANSWER_BYTES]);
            largeAnswers.incrementAndGet();
            return new BodyCollector(100, body -> {}, () -> {});
        }
        if (call.path().equals("/upload")) {
            return new BodyCollector(
                    UPLOAD_BYTES,
                    body -> call.reply(200, Map.of(), RawEndpoint.ascii("received " + body.length)),
                    () -> {});
        }
        if (call.path().equals("/held")) {
            return new BodyCollector(100, body -> heldCalls.add(call), () -> {});
        }
        if (call.path().startsWith("/unframed")) {
            boolean aborted = call.path().endsWith("abort");
            call.beginStream(200, List.of(), BodyFraming.CONNECTION_CLOSE);
            call.write(RawEndpoint.ascii("part")).thenRun(aborted ? call::abortStream : call::endStream);
            return new BodyCollector(100, body -> {}, () -> {});
        }
        if (call.path().equals("/abort")) {
            call.beginStream(200, Map.of());
            call.write(RawEndpoint.ascii("part")).whenComplete((done, failure) -> call.abortStream());
            return new BodyCollector(100, body -> {}, () -> {});
        }
        return new BodyCollector(
                100,
                body -> call.reply(200, Map.of(), RawEndpoint.ascii(call.path())),
                () -> call.reply(413, Map.of(), new byte[0]));
    }

    private static void upload(Socket caller) {
        try {
            OutputStream output = caller.getOutputStream();
            output.write(RawEndpoint.ascii(
                    "POST /upload HTTP/1.1\r\nconnection: close\r\ncontent-length: " + UPLOAD_BYTES + "\r\n\r\n"));
            output.write(new byte[UPLOAD_BYTES]);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns a caller with a small receive buffer that does not read, so that a response fills all buffers. */
    private Socket slowReader() throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        socket.connect(new InetSocketAddress(address.ip(), address.port()));
        return socket;
    }

    private boolean acceptsConnections() {
        try (Socket socket = new Socket(address.ip(), address.port())) {
            return socket.isConnected();
        } catch (IOException e) {
            return false;
        }
    }

    private String send(String request) throws IOException {
        try (Socket socket = new Socket(address.ip(), address.port())) {
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().flush();
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }
}
