package org.gooseberryhill.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.gooseberryhill.http.RawEndpoint.ascii;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.Loopback;
import org.gooseberryhill.decision.memory.AnswerKind;
import org.gooseberryhill.decision.memory.BoundedHeldBytes;
import org.gooseberryhill.decision.memory.HeldBytesLevel;
import org.gooseberryhill.link.Address;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Tests that the counts of held bytes are released, and that they stay below their bound. A count that is not released makes
 * the process refuse requests permanently.
 */
class HeldBytesTest {
    private static final int MAX_BODY_BYTES = 1_000_000;
    private static final int BODY_BYTES = 300_000;

    /** More than the socket buffers of both sides take. */
    private static final int LARGE_ANSWER_BYTES = 12_000_000;

    private static final int BOUND_BYTES = 100_000_000;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final HeldBytes heldBytes = new HeldBytes(new BoundedHeldBytes(BOUND_BYTES));
    private final HttpLimits limits =
            new HttpLimits(16_384, 8_192, 60_000, 2 * LARGE_ANSWER_BYTES, 10_000, ConnectionLimits.DEFAULT);
    private final BlockingQueue<HttpCall> calls = new LinkedBlockingQueue<>();
    private final Address address = Loopback.freeAddress();
    private final HttpServer server =
            HttpServer.start(group, ListeningSocket.open(address), () -> limits, heldBytes, this::handle);
    private final List<Socket> callers = new ArrayList<>();

    @AfterEach
    void close() throws IOException {
        for (Socket caller : callers) {
            caller.close();
        }
        server.close();
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    @Test
    void aBodyIsHeldUntilItsAnswerIsComplete() throws Exception {
        Socket caller = connect();
        sendRequest(caller, BODY_BYTES);
        HttpCall call = calls.take();
        assertThat(heldBytes.bytes()).isEqualTo(BODY_BYTES);

        call.reply(200, Map.of(), ascii("done"));

        awaitNothingHeld();
        assertThat(heldBytes.slowReaders()).isZero();
    }

    @Test
    void anAnswerThatIsCollectedIsHeldUntilItIsComplete() throws Exception {
        sendRequest(connect(), 0);
        HttpCall call = calls.take();
        call.setBufferedAnswerBytes(7000);
        Loopback.await("the count", () -> heldBytes.bytes() == 7000);
        call.setBufferedAnswerBytes(9000);
        Loopback.await("the count", () -> heldBytes.bytes() == 9000);

        call.reply(200, Map.of(), ascii("done"));

        awaitNothingHeld();
    }

    @Test
    void whatWasHeldForACallerThatDisconnectsInsideItsBodyIsReleased() throws Exception {
        Socket caller = connect();
        sendHead(caller, BODY_BYTES);
        caller.getOutputStream().write(new byte[BODY_BYTES / 2]);
        Loopback.await("half of the body", () -> heldBytes.bytes() == BODY_BYTES / 2);

        caller.close();

        awaitNothingHeld();
    }

    @Test
    void whatWasHeldForACallerThatDisconnectsInsideItsAnswerIsReleased() throws Exception {
        Socket caller = connect();
        sendRequest(caller, BODY_BYTES);
        HttpCall call = calls.take();
        call.setBufferedAnswerBytes(1000);
        call.beginStream(200, Map.of());
        call.write(new byte[LARGE_ANSWER_BYTES]);
        Loopback.await("unsent bytes", () -> heldBytes.bytes() > LARGE_ANSWER_BYTES);

        caller.close();

        awaitNothingHeld();
        assertThat(heldBytes.slowReaders()).isZero();
        call.setBufferedAnswerBytes(5000);
        call.write(new byte[5000]).exceptionally(failure -> null).join();
        assertThat(heldBytes.bytes()).isZero();
    }

    @Test
    void anUnsentAnswerIsReleasedWhenItsCallerReadsIt() throws Exception {
        Socket caller = connect();
        sendRequest(caller, 0);
        calls.take().reply(200, Map.of(), new byte[LARGE_ANSWER_BYTES]);
        Loopback.await("unsent bytes", () -> heldBytes.bytes() >= LARGE_ANSWER_BYTES);
        assertThat(heldBytes.slowReaders()).isEqualTo(1);

        caller.getInputStream().readNBytes(LARGE_ANSWER_BYTES);

        awaitNothingHeld();
        assertThat(heldBytes.slowReaders()).isZero();
    }

    @Test
    void aBodyThatIsTooLargeIsReleasedAndItsCallerReceivesTheRefusal() throws Exception {
        Socket caller = connect();
        sendRequest(caller, 4 * MAX_BODY_BYTES);

        assertThat(readStatusLine(caller)).startsWith("HTTP/1.1 413");
        awaitNothingHeld();
    }

    @Test
    void pipelinedBodiesAreHeldUntilTheyAreAnswered() throws Exception {
        Socket caller = connect();
        sendRequest(caller, BODY_BYTES);
        HttpCall first = calls.take();
        sendRequest(caller, BODY_BYTES);
        Loopback.await("the second body", () -> heldBytes.bytes() == 2 * BODY_BYTES);

        first.reply(200, Map.of(), ascii("first"));
        calls.take().reply(200, Map.of(), ascii("second"));

        awaitNothingHeld();
    }

    @Test
    void everythingIsReleasedWhenTheServerIsClosed() throws Exception {
        sendRequest(connect(), BODY_BYTES);
        sendRequest(connect(), 0);
        calls.take();
        calls.take().reply(200, Map.of(), new byte[LARGE_ANSWER_BYTES]);
        sendHead(connect(), BODY_BYTES);

        server.close();

        awaitNothingHeld();
    }

    /** Guards against the memory of a body that an endpoint does not read, after the caller's deadline. */
    @Test
    void aBodyThatAnEndpointDoesNotReadIsHeldUntilTheExchangeIsCancelled() throws Exception {
        try (ServerSocket endpoint = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
                HttpClient client = new HttpClient(group, heldBytes)) {
            Exchange exchange = client.start(largeRequest(endpoint), new CollectedAnswer());
            try (Socket accepted = endpoint.accept()) {
                Loopback.await("unsent body", () -> heldBytes.bytes() == LARGE_ANSWER_BYTES);

                exchange.cancel();

                awaitNothingHeld();
            }
        }
    }

    @Test
    void aBodyIsReleasedWhenItsEndpointIsCut() throws Exception {
        try (ServerSocket endpoint = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
                HttpClient client = new HttpClient(group, heldBytes)) {
            CollectedAnswer answer = new CollectedAnswer();
            client.start(largeRequest(endpoint), answer);
            try (Socket accepted = endpoint.accept()) {
                Loopback.await("unsent body", () -> heldBytes.bytes() == LARGE_ANSWER_BYTES);
            }

            answer.failed.join();
            awaitNothingHeld();
        }
    }

    /** Guards against an idle connection that keeps a body in memory which its endpoint has answered without reading it. */
    @Test
    void aBodyThatIsAnsweredWithoutBeingReadIsReleased() throws Exception {
        try (ServerSocket endpoint = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
                HttpClient client = new HttpClient(group, heldBytes)) {
            CollectedAnswer answer = new CollectedAnswer();
            client.start(largeRequest(endpoint), answer);
            try (Socket accepted = endpoint.accept()) {
                Loopback.await("unsent body", () -> heldBytes.bytes() == LARGE_ANSWER_BYTES);
                accepted.getOutputStream().write(ascii("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"));

                answer.ended.join();
                awaitNothingHeld();
            }
        }
    }

    /** Guards against a process that is killed because many callers read nothing. */
    @Test
    void connectionsAreClosedSoThatTheBoundIsKept() throws Exception {
        int count = 2 * BOUND_BYTES / LARGE_ANSWER_BYTES;
        long maxHeldBytes = 0;
        for (int i = 0; i < count; i++) {
            sendRequest(connect(), 0);
            HttpCall call = calls.take();
            call.setAnswerKind(i % 2 == 0 ? AnswerKind.BATCH_READ : AnswerKind.PLAIN);
            call.reply(200, Map.of(), new byte[LARGE_ANSWER_BYTES]);
            group.next().submit(() -> {}).sync();
            maxHeldBytes = Math.max(maxHeldBytes, heldBytes.bytes());
        }

        assertThat(maxHeldBytes).isBetween(BOUND_BYTES / 2L, (long) BOUND_BYTES);
        assertThat(heldBytes.level()).isNotEqualTo(HeldBytesLevel.CLOSING);
        assertThat(heldBytes.closedConnections(AnswerKind.BATCH_READ)).isGreaterThanOrEqualTo(count / 2 - 1);
        assertThat(heldBytes.closedBytes()).isPositive();
    }

    private RequestBodyHandler handle(HttpCall call) {
        return new BodyCollector(MAX_BODY_BYTES, body -> calls.add(call), () -> call.reply(413, Map.of(), new byte[0]));
    }

    private void awaitNothingHeld() {
        Loopback.await("nothing is held, but " + heldBytes.bytes(), () -> heldBytes.bytes() == 0);
    }

    private Socket connect() throws IOException {
        Socket caller = new Socket(address.ip(), address.port());
        callers.add(caller);
        return caller;
    }

    private static ExchangeRequest largeRequest(ServerSocket endpoint) {
        Address at = new Address("127.0.0.1", endpoint.getLocalPort());
        return new ExchangeRequest(at, "POST", "/", Map.of(), new byte[LARGE_ANSWER_BYTES], 60_000, false);
    }

    private static void sendRequest(Socket caller, int bodyBytes) throws IOException {
        sendHead(caller, bodyBytes);
        caller.getOutputStream().write(new byte[bodyBytes]);
    }

    private static void sendHead(Socket caller, int bodyBytes) throws IOException {
        caller.getOutputStream().write(ascii("POST / HTTP/1.1\r\ncontent-length: " + bodyBytes + "\r\n\r\n"));
    }

    private static String readStatusLine(Socket caller) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = caller.getInputStream().read(); next >= 0 && next != '\r'; ) {
            line.append((char) next);
            next = caller.getInputStream().read();
        }
        return line.toString();
    }
}
