package org.gooseberryhill.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.DefaultSelectStrategyFactory;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SelectStrategy;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.IntSupplier;
import java.io.Closeable;
import java.io.IOException;
import java.net.Socket;
import java.nio.channels.spi.SelectorProvider;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.Loopback;
import org.gooseberryhill.link.Address;
import org.junit.jupiter.api.Test;

/** Tests closing idle connections on a server whose event loop is busy. */
class ClosingIdleConnectionsTest {
    private static final int BODY_BYTES = 100;
    private static final int SMALL_ANSWER_BYTES = 1024;

    /** Ends a test that would otherwise hang; shorter than the default idle timeout. */
    private static final int READ_TIMEOUT_MILLIS = 10_000;

    /** Guards against a lost request that a busy host has not read yet when it closes the connection as idle. */
    @Test
    void closingIdleConnectionsReadsWhatHasArrivedBefore() throws IOException {
        BlockingSelectStrategy selectStrategy = new BlockingSelectStrategy();
        EventLoopGroup loop = selectStrategy.eventLoop();
        Address busyAddress = Loopback.freeAddress();
        HttpServer busy = HttpServer.start(loop, busyAddress, HttpLimits.DEFAULT, ClosingIdleConnectionsTest::handle);
        try (busy;
                Socket caller = new Socket(busyAddress.ip(), busyAddress.port());
                selectStrategy) {
            caller.setSoTimeout(READ_TIMEOUT_MILLIS);
            caller.getOutputStream().write(RawEndpoint.ascii("GET /one HTTP/1.1\r\n\r\n"));
            assertThat(caller.getInputStream().read(new byte[SMALL_ANSWER_BYTES]))
                    .isPositive();
            CountDownLatch loopBlock = blockEventLoop(loop);
            selectStrategy.awaitReadable();

            busy.closeIdle();
            CountDownLatch readBlock = new CountDownLatch(1);
            loop.execute(() -> awaitRelease(readBlock));
            caller.getOutputStream().write(RawEndpoint.ascii("GET /two HTTP/1.1\r\nconnection: close\r\n\r\n"));
            waitForNextIterationDelay();
            loopBlock.countDown();
            waitForNextIterationDelay();
            readBlock.countDown();

            assertThat(new String(caller.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1))
                    .contains("/two");
        } finally {
            loop.shutdownGracefully();
        }
    }

    private static RequestBodyHandler handle(HttpCall call) {
        return new BodyCollector(
                BODY_BYTES, body -> call.reply(200, Map.of(), RawEndpoint.ascii(call.path())), () -> {});
    }

    /** Blocks the event loop until the returned latch is released; returns when it is blocked. */
    private static CountDownLatch blockEventLoop(EventLoopGroup loop) {
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        loop.execute(() -> {
            blocked.countDown();
            awaitRelease(release);
        });
        awaitRelease(blocked);
        return release;
    }

    /** Waits until the timers that were set before are due. */
    private static void waitForNextIterationDelay() {
        long dueNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(AfterRead.NEXT_ITERATION_DELAY_MILLIS);
        while (System.nanoTime() - dueNanos <= 0) {
            Thread.onSpinWait();
        }
    }

    private static void awaitRelease(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Makes the next reading iteration of an event loop wait until there is something to read. */
    private static final class BlockingSelectStrategy implements SelectStrategy, Closeable {
        private volatile boolean awaiting;

        EventLoopGroup eventLoop() {
            return new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory(SelectorProvider.provider(), () -> this));
        }

        void awaitReadable() {
            awaiting = true;
        }

        @Override
        public void close() {
            awaiting = false;
        }

        @Override
        public int calculateStrategy(IntSupplier selectNow, boolean hasTasks) throws Exception {
            if (!awaiting) {
                return DefaultSelectStrategyFactory.INSTANCE.newSelectStrategy().calculateStrategy(selectNow, hasTasks);
            }
            int readable = selectNow.get();
            while (readable == 0 && awaiting) {
                Thread.onSpinWait();
                readable = selectNow.get();
            }
            awaiting = false;
            return readable;
        }
    }
}
