package org.gooseberryhill.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.gooseberryhill.Loopback;
import org.gooseberryhill.link.Address;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Tests closing idle connections and the listening socket while the server's only event loop thread is delayed. All delays
 * are lower bounds, so load on the machine can't invalidate a test.
 */
class BlockedEventLoopTest {
    private static final HttpLimits LIMITS =
            new HttpLimits(512, 256, 600_000, 1024 * 1024, 600_000, ConnectionLimits.DEFAULT);
    private static final int MAX_BODY_BYTES = 100;
    private static final int SMALL_ANSWER_BYTES = 1024;

    /** Fails a test that would otherwise hang; shorter than the idle timeout. */
    private static final int READ_TIMEOUT_MILLIS = 60_000;

    /** Blocks the event loop long enough that its timers are due when it continues. */
    private static final long DELAY_MILLIS = 20;

    /** Blocks the event loop long enough that its last read no longer counts as recent. */
    private static final long LONG_DELAY_MILLIS = 200;

    /** More connections than an event loop accepts in one iteration. */
    private static final int PENDING_CALLERS = 40;

    private final EventLoopGroup eventLoop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final Address address = Loopback.freeAddress();
    private final CountDownLatch blocked = new CountDownLatch(1);
    private final CountDownLatch release = new CountDownLatch(1);
    private final HttpServer server = HttpServer.start(eventLoop, address, LIMITS, this::handle);

    @AfterEach
    void close() {
        release.countDown();
        server.close();
        eventLoop.shutdownGracefully();
    }

    /** Guards against a lost request that a busy host has not read yet when it closes the connection as idle. */
    @Test
    void closingIdleConnectionsReadsWhatHasArrivedBefore() throws IOException, InterruptedException {
        try (Socket caller = answeredCaller()) {
            eventLoop.execute(this::blockEventLoop);
            awaitSignal(blocked);

            send(caller, "GET /two HTTP/1.1\r\nconnection: close\r\n\r\n");
            server.closeIdle();
            waitFor(DELAY_MILLIS);
            release.countDown();

            assertThat(readToEnd(caller)).contains("/two");
        }
    }

    /** Guards against a lost request that arrives after a delayed event loop has read and before it closes idle connections. */
    @Test
    void closingIdleConnectionsReadsAgainWhenItsThreadIsDelayedAfterReading() throws IOException, InterruptedException {
        CountDownLatch closeRequested = new CountDownLatch(1);
        CountDownLatch requestSent = new CountDownLatch(1);
        try (Socket caller = answeredCaller();
                Socket other = answeredCaller()) {
            eventLoop.execute(() -> {
                server.closeIdle();
                eventLoop.execute(() -> {
                    closeRequested.countDown();
                    awaitRelease(requestSent);
                });
            });
            awaitSignal(closeRequested);
            send(other, "GET /busy HTTP/1.1\r\n\r\n");
            waitFor(DELAY_MILLIS);
            requestSent.countDown();
            awaitSignal(blocked);

            send(caller, "GET /two HTTP/1.1\r\nconnection: close\r\n\r\n");
            waitFor(LONG_DELAY_MILLIS);
            release.countDown();

            assertThat(readToEnd(caller)).contains("/two");
        }
    }

    /** Guards against refusing callers whose connections a busy host has not accepted yet when it stops listening. */
    @Test
    void stopListeningAcceptsCallersThatConnectedBefore() throws IOException, InterruptedException {
        eventLoop.execute(this::blockEventLoop);
        awaitSignal(blocked);
        List<Socket> callers = new ArrayList<>();
        for (int i = 0; i < PENDING_CALLERS; i++) {
            Socket caller = connect();
            callers.add(caller);
            send(caller, "GET /one HTTP/1.1\r\nconnection: close\r\n\r\n");
        }

        server.stopListening();
        waitFor(DELAY_MILLIS);
        release.countDown();

        for (Socket caller : callers) {
            try (caller) {
                assertThat(readToEnd(caller)).contains("/one");
            }
        }
        Loopback.await("the end of the last connection", server::isDrained);
    }

    private RequestBodyHandler handle(HttpCall call) {
        if (call.path().equals("/busy")) {
            blockEventLoop();
        }
        return new BodyCollector(
                MAX_BODY_BYTES,
                body -> call.reply(200, Map.of(), RawEndpoint.ascii(call.path())),
                () -> call.reply(413, Map.of(), new byte[0]));
    }

    private void blockEventLoop() {
        blocked.countDown();
        awaitRelease(release);
    }

    private static void awaitSignal(CountDownLatch latch) throws InterruptedException {
        assertThat(latch.await(READ_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
    }

    private static void awaitRelease(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits for at least the given time. */
    private static void waitFor(long millis) {
        long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (System.nanoTime() - untilNanos < 0) {
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(1));
        }
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(address.ip(), address.port());
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        return socket;
    }

    /** Returns a caller whose first request was answered, so that its connection is idle. */
    private Socket answeredCaller() throws IOException {
        Socket caller = connect();
        send(caller, "GET /one HTTP/1.1\r\n\r\n");
        assertThat(caller.getInputStream().read(new byte[SMALL_ANSWER_BYTES])).isPositive();
        return caller;
    }

    private static void send(Socket caller, String request) throws IOException {
        caller.getOutputStream().write(RawEndpoint.ascii(request));
    }

    private static String readToEnd(Socket caller) throws IOException {
        return new String(caller.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }
}
