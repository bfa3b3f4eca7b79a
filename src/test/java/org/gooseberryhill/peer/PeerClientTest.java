package org.gooseberryhill.peer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import org.gooseberryhill.Loopback;
import org.gooseberryhill.decision.access.BatchAccess;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.link.Address;
import org.gooseberryhill.link.HybridClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

class PeerClientTest {
    private static final int UNKNOWN_CODE = 127;
    private static final int RESULTS_REQUEST_CODE = 7;
    private static final long SHORT_TIMEOUT_MILLIS = 200;
    private static final long LONG_TIMEOUT_MILLIS = 30_000;

    private final EventLoopGroup group = Loopback.newEventLoopGroup();
    private final EventLoopGroup clientGroup = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final Address address = Loopback.freeAddress();
    private final HybridClock clock = new HybridClock(System::currentTimeMillis);
    private final CompletableFuture<PeerMessage> slowReply = new CompletableFuture<>();
    private final PeerServer server =
            new PeerServer(group, new HostId("server"), address, clock, new PeerTraffic(), this::answer);
    private final Queue<Runnable> probeTimeoutTasks = new ConcurrentLinkedQueue<>();
    private final PeerClient client = new PeerClient(clientGroup, new HostId("client"), clock, probeTimeoutTasks::add);

    @AfterEach
    void close() {
        client.close();
        server.close();
        clientGroup.shutdownGracefully();
        group.shutdownGracefully();
    }

    /** Guards against requests that fail because another request on their connection timed out. */
    @Test
    void aRequestThatTimesOutDoesNotFailOthersOnItsConnection() {
        CompletableFuture<PeerMessage> pending = ask(address, "slow", LONG_TIMEOUT_MILLIS);

        assertTimesOut(ask(address, "never", SHORT_TIMEOUT_MILLIS));
        // The probe was sent earlier on the same connection, so its reply arrives before this one.
        ask(address, "at once", LONG_TIMEOUT_MILLIS).join();
        expireProbe();

        slowReply.complete(new GatewayMessage.BatchEnded(true));
        assertThat(pending.join()).isEqualTo(new GatewayMessage.BatchEnded(true));
    }

    /** Guards against requests that fail because the control thread of the other process is busy for a while. */
    @Test
    void aProbeIsAnsweredWhileTheProcessAnswersNothingElse() {
        CompletableFuture<PeerMessage> pending = ask(address, "slow", LONG_TIMEOUT_MILLIS);

        CompletableFuture<PeerMessage> probe =
                client.ask(address, PeerLane.CONTROL, new PeerMessage.ConnectionProbe(), LONG_TIMEOUT_MILLIS);

        assertThat(probe.join()).isEqualTo(new PeerMessage.Ack());
        assertThat(pending).isNotDone();
    }

    /** Guards against endless use of a connection that stopped delivering data without a reset. */
    @Test
    void anUnresponsiveConnectionIsClosed() throws IOException {
        try (ServerSocket silent = silentServer()) {
            CompletableFuture<PeerMessage> pending = ask(addressOf(silent), "slow", LONG_TIMEOUT_MILLIS);

            assertTimesOut(ask(addressOf(silent), "never", SHORT_TIMEOUT_MILLIS));
            expireProbe();

            assertThatThrownBy(pending::join).hasMessageContaining("lost the connection");
        }
    }

    /** Guards against keeping an unresponsive connection that was established only after its request timed out. */
    @Test
    void anUnresponsiveConnectionMadeAfterARequestTimedOutIsClosed() throws IOException {
        try (ServerSocket silent = silentServer()) {
            CountDownLatch timedOut = new CountDownLatch(1);
            clientGroup.execute(() -> awaitUninterruptibly(timedOut));
            CompletableFuture<PeerMessage> pending = ask(addressOf(silent), "slow", LONG_TIMEOUT_MILLIS);

            assertTimesOut(ask(addressOf(silent), "never", SHORT_TIMEOUT_MILLIS));
            timedOut.countDown();
            expireProbe();

            assertThatThrownBy(pending::join).hasMessageContaining("lost the connection");
        }
    }

    /** Guards against requests of a host that fail because another of its messages can't be decoded, as between versions. */
    @ParameterizedTest
    @ValueSource(ints = {UNKNOWN_CODE, RESULTS_REQUEST_CODE})
    void aMessageThatCantBeDecodedIsAnsweredAndTheOthersOnItsConnectionToo(int code) throws IOException {
        try (Socket socket = new Socket(address.ip(), address.port())) {
            DataOutputStream out = new DataOutputStream(socket.getOutputStream());
            for (byte[] frame : List.of(header(code, 0), new byte[] {(byte) 0xc1}, header(code, 1), request(2))) {
                out.writeInt(frame.length);
                out.write(frame);
            }
            DataInputStream in = new DataInputStream(socket.getInputStream());

            PeerFrame failed = PeerCodec.decode(in.readNBytes(in.readInt()));
            PeerFrame answered = PeerCodec.decode(in.readNBytes(in.readInt()));

            assertThat(failed.number()).isEqualTo(1);
            assertThat(failed.message()).isInstanceOf(PeerMessage.Failed.class);
            assertThat(answered.number()).isEqualTo(2);
            assertThat(answered.message()).isEqualTo(new GatewayMessage.BatchEnded(false));
        }
    }

    private byte[] request(long number) throws IOException {
        return PeerCodec.encode(new PeerFrame(
                number,
                false,
                clock.now(),
                new HostId("other"),
                new GatewayMessage.BatchEndRequest("at once", BatchAccess.UNCHECKED)));
    }

    /** Returns a frame without the fields of its message. */
    private static byte[] header(int code, long number) throws IOException {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packInt(code).packLong(number).packBoolean(false).packLong(1).packString("other");
            return packer.toByteArray();
        }
    }

    private CompletableFuture<PeerMessage> ask(Address target, String batch, long timeoutMillis) {
        return client.ask(
                target,
                PeerLane.CONTROL,
                new GatewayMessage.BatchEndRequest(batch, BatchAccess.UNCHECKED),
                timeoutMillis);
    }

    private CompletionStage<PeerMessage> answer(HostId from, PeerMessage message) {
        return switch (((GatewayMessage.BatchEndRequest) message).batch()) {
            case "slow" -> slowReply;
            case "never" -> new CompletableFuture<>();
            default -> CompletableFuture.completedFuture(new GatewayMessage.BatchEnded(false));
        };
    }

    private void expireProbe() {
        Loopback.await("a probe", () -> !probeTimeoutTasks.isEmpty());
        probeTimeoutTasks.remove().run();
    }

    private static void assertTimesOut(CompletableFuture<PeerMessage> request) {
        assertThatThrownBy(request::join).hasMessageContaining("Timeout");
    }

    /** Returns a server socket whose connections the kernel accepts and nobody reads. */
    private static ServerSocket silentServer() throws IOException {
        return new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
    }

    private static Address addressOf(ServerSocket socket) {
        return new Address(socket.getInetAddress().getHostAddress(), socket.getLocalPort());
    }

    private static void awaitUninterruptibly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
