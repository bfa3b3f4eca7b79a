package org.gooseberryhill.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.gooseberryhill.http.RawEndpoint.ascii;

import io.netty.channel.EventLoopGroup;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.gooseberryhill.Loopback;
import org.gooseberryhill.contract.Outcome;
import org.gooseberryhill.link.Address;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests that an exchange fails as silent only if its endpoint was silent, even if the event loops of the client stall. */
class SilentExchangeTest {
    private static final int SILENCE_MILLIS = 60_000;
    private static final int MAX_ANSWER_BYTES = 100;

    /** Longer than the delay of tasks that the event loop defers until it has read. */
    private static final long STALL_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    private final EventLoopGroup clientGroup = Loopback.newEventLoopGroup();
    private final EventLoopGroup endpointGroup = Loopback.newEventLoopGroup();
    private final HttpClient client = new HttpClient(clientGroup);
    private final Address address = Loopback.freeAddress();
    private final BlockingQueue<HttpCall> calls = new LinkedBlockingQueue<>();
    private final HttpServer endpoint = HttpServer.start(endpointGroup, address, HttpLimits.DEFAULT, this::handle);
    private final CountDownLatch release = new CountDownLatch(1);

    @AfterEach
    void close() {
        release.countDown();
        client.close();
        endpoint.close();
        clientGroup.shutdownGracefully();
        endpointGroup.shutdownGracefully();
    }

    /** Guards against cutting off a response because the host had not yet read what the endpoint had sent in time. */
    @Test
    void bytesThatArriveWhileTheEventLoopIsBlockedAreReadBeforeAnExchangeFailsAsSilent() throws InterruptedException {
        CollectedAnswer answer = new CollectedAnswer();
        Exchange exchange = client.start(request(), answer);
        HttpCall call = calls.take();
        call.beginStream(200, Map.of());
        call.write(ascii("one "));
        Loopback.await("the first part", () -> answer.text().equals("one "));
        long lastActivityNanos = exchange.lastActivityNanos();
        blockClientEventLoops();

        exchange.failIfSilentSince(lastActivityNanos);
        call.write(ascii("two ")).join();
        LockSupport.parkNanos(STALL_NANOS);
        release.countDown();
        call.write(ascii("three"));
        call.endStream();

        answer.ended.join();
        assertThat(answer.text()).isEqualTo("one two three");
    }

    /** Guards against failing a request because of a silent period that began before it was sent. */
    @Test
    void aRequestThatIsSentAfterTheEventLoopWasBlockedIsAnswered() throws InterruptedException {
        CollectedAnswer first = new CollectedAnswer();
        client.start(request(), first);
        calls.take().reply(200, Map.of(), ascii("first"));
        first.ended.join();
        blockClientEventLoops();
        CollectedAnswer next = new CollectedAnswer();
        Exchange exchange = client.start(request(), next);

        exchange.failIfSilentSince(exchange.lastActivityNanos());
        LockSupport.parkNanos(STALL_NANOS);
        release.countDown();
        calls.take().reply(200, Map.of(), ascii("next"));

        next.ended.join();
        assertThat(client.connectionAttempts()).isEqualTo(1);
    }

    @Test
    void anExchangeWhoseEndpointIsSilentFailsAsSilentAndMayHaveRun() throws InterruptedException {
        CollectedAnswer answer = new CollectedAnswer();
        Exchange exchange = client.start(request(), answer);
        CompletableFuture<Void> disconnected = new CompletableFuture<>();
        calls.take().onDisconnect(() -> disconnected.complete(null));

        exchange.failIfSilentSince(exchange.lastActivityNanos());

        ExchangeFailure failure = answer.failed.join();
        assertThat(failure.kind()).isEqualTo(ExchangeFailure.Kind.SILENT);
        assertThat(failure.outcome()).isEqualTo(Outcome.MAY_HAVE_RUN);
        disconnected.join();
    }

    /** Blocks all event loops of the client; returns when they are blocked. */
    private void blockClientEventLoops() {
        CountDownLatch blockedLoops = new CountDownLatch(2);
        clientGroup.forEach(loop -> loop.execute(() -> {
            blockedLoops.countDown();
            awaitRelease(release);
        }));
        awaitRelease(blockedLoops);
    }

    private static void awaitRelease(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private RequestBodyHandler handle(HttpCall call) {
        return new BodyCollector(
                MAX_ANSWER_BYTES, body -> calls.add(call), () -> call.reply(413, Map.of(), new byte[0]));
    }

    private ExchangeRequest request() {
        return new ExchangeRequest(address, "GET", "/", Map.of(), new byte[0], SILENCE_MILLIS, false);
    }
}
