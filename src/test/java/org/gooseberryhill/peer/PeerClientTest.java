package org.gooseberryhill.peer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.Loopback;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.link.Address;
import org.gooseberryhill.link.HybridClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class PeerClientTest {
    private static final long SHORT_MILLIS = 200;
    private static final long LONG_MILLIS = 10_000;

    /** Longer than a connection that does not answer is kept. */
    private static final long LATER_MILLIS = 1000;

    private final EventLoopGroup group = Loopback.group();
    private final Address address = Loopback.freeAddress();
    private final HybridClock clock = new HybridClock(System::currentTimeMillis);
    private final CompletableFuture<PeerMessage> slowAnswer = new CompletableFuture<>();
    private volatile boolean silent;
    private final PeerServer server =
            new PeerServer(group, new HostId("server"), address, clock, new PeerTraffic(), this::answer);
    private final EventLoopGroup clientGroup = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final PeerClient client = new PeerClient(clientGroup, new HostId("client"), clock);

    @AfterEach
    void close() {
        client.close();
        server.close();
        clientGroup.shutdownGracefully();
        group.shutdownGracefully();
    }

    /** Guards against questions that fail since another one on their connection was not answered in its time. */
    @Test
    void aQuestionThatTimesOutDoesNotFailTheOthersOnItsConnection() {
        CompletableFuture<PeerMessage> patient = ask("slow", LONG_MILLIS);
        assertThatThrownBy(() -> ask("never", SHORT_MILLIS).join()).hasMessageContaining("Timeout");

        group.schedule(
                () -> slowAnswer.complete(new GatewayMessage.BatchEnded(true)), LATER_MILLIS, TimeUnit.MILLISECONDS);

        assertThat(patient.join()).isEqualTo(new GatewayMessage.BatchEnded(true));
    }

    /** Guards against a connection that went silent without a reset and is used for ever. */
    @Test
    void aConnectionThatAnswersNothingIsGivenUp() {
        silent = true;
        CompletableFuture<PeerMessage> patient = ask("slow", LONG_MILLIS);

        assertThatThrownBy(() -> ask("never", SHORT_MILLIS).join()).hasMessageContaining("Timeout");

        assertThatThrownBy(patient::join).hasMessageContaining("lost the connection");
    }

    /** Guards against a silent connection that stays in use since it was made after the question that was not answered. */
    @Test
    void aConnectionThatIsMadeAfterAQuestionHasTimedOutIsGivenUpIfItAnswersNothing() {
        silent = true;
        CountDownLatch timedOut = new CountDownLatch(1);
        clientGroup.execute(() -> awaitUninterruptibly(timedOut));
        CompletableFuture<PeerMessage> patient = ask("slow", LONG_MILLIS);

        assertThatThrownBy(() -> ask("never", SHORT_MILLIS).join()).hasMessageContaining("Timeout");
        timedOut.countDown();

        assertThatThrownBy(patient::join).hasMessageContaining("lost the connection");
    }

    private CompletableFuture<PeerMessage> ask(String batch, long timeoutMillis) {
        return client.ask(address, PeerLane.CONTROL, new GatewayMessage.BatchEndAsk(batch), timeoutMillis);
    }

    private CompletionStage<PeerMessage> answer(HostId from, PeerMessage message) {
        if (message instanceof GatewayMessage.BatchEndAsk question
                && question.batch().equals("slow")) {
            return slowAnswer;
        }
        if (message instanceof PeerMessage.Ack && !silent) {
            return CompletableFuture.completedFuture(new PeerMessage.Ack());
        }
        return new CompletableFuture<>();
    }

    private static void awaitUninterruptibly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
