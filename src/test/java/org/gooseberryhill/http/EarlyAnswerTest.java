package org.gooseberryhill.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.gooseberryhill.http.RawEndpoint.ascii;

import io.netty.channel.EventLoopGroup;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.Loopback;
import org.gooseberryhill.contract.Outcome;
import org.gooseberryhill.link.Address;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests answers that an endpoint sends before it has read the whole request. */
class EarlyAnswerTest {
    /** Far longer than a response takes; ends a test that would otherwise hang. */
    private static final int SILENCE_MILLIS = 60_000;

    private static final int MAX_ANSWER_BYTES = 100;
    private static final int REPETITIONS = 20;

    /** A reset later than this after the end of a connection is not one that follows right behind it. */
    private static final long MAX_RESET_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

    private static final String UNFRAMED = "HTTP/1.1 200 OK\r\n\r\npart";

    private final EventLoopGroup group = Loopback.newEventLoopGroup();
    private final HttpClient client = new HttpClient(group);

    @AfterEach
    void close() {
        client.close();
        group.shutdownGracefully();
    }

    /** Guards against a part of an answer that counts as whole, since the end of the connection arrives before its reset. */
    @ParameterizedTest
    @ValueSource(ints = {600, 20_000, 200_000, 900_000, 4_000_000})
    void anAnswerWhoseConnectionIsResetBehindItsEndIsNotComplete(int uploadBytes) throws IOException {
        List<String> taken = new ArrayList<>();
        int counted = 0;
        try (EarlyEndpoint endpoint = new EarlyEndpoint(UNFRAMED, false)) {
            for (int i = 0; i < REPETITIONS; i++) {
                String result = call(endpoint, uploadBytes);
                if (endpoint.resetDelayNanos() <= MAX_RESET_DELAY_NANOS) {
                    counted++;
                    taken.add(result);
                }
            }
        }

        assertThat(counted).isPositive();
        assertThat(taken).containsOnly("CONNECTION_LOST, MAY_HAVE_RUN");
    }

    /** Guards against a sound answer that is refused since it ends with its connection. */
    @ParameterizedTest
    @ValueSource(ints = {0, 600, 900_000})
    void anAnswerToARequestThatWasReadWholeIsComplete(int uploadBytes) throws IOException {
        try (EarlyEndpoint endpoint = new EarlyEndpoint(UNFRAMED, true)) {
            assertThat(call(endpoint, uploadBytes)).isEqualTo("200 part");
        }
    }

    /** Returns the status and the body, or how the exchange failed and what it says of the run. */
    private String call(EarlyEndpoint endpoint, int uploadBytes) {
        ExchangeOptions options = new ExchangeOptions(
                SILENCE_MILLIS,
                ExchangeOptions.DEFAULT_CONNECT_TIMEOUT_MILLIS,
                Integer.MAX_VALUE,
                true,
                ResponseMatcher.NONE,
                0);
        ExchangeRequest request = new ExchangeRequest(
                endpoint.address(), "POST", "/", Map.<String, String>of().entrySet(), new byte[uploadBytes], options);
        try {
            HttpResult result = client.call(request, MAX_ANSWER_BYTES).join();
            return result.status() + " " + new String(result.body(), StandardCharsets.US_ASCII);
        } catch (CompletionException e) {
            ExchangeFailure failure = ((ExchangeException) e.getCause()).failure();
            assertThat(failure.outcome()).isEqualTo(Outcome.MAY_HAVE_RUN);
            return failure.kind() + ", " + failure.outcome();
        }
    }

    /** An endpoint that answers as soon as it has read the head of a request, or the whole request, and ends the connection. */
    private static final class EarlyEndpoint implements Closeable {
        private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        private final BlockingQueue<Long> resetDelaysNanos = new LinkedBlockingQueue<>();
        private final String answer;
        private final boolean readsRequest;

        EarlyEndpoint(String answer, boolean readsRequest) throws IOException {
            this.answer = answer;
            this.readsRequest = readsRequest;
            Thread thread = new Thread(this::serve, "early-endpoint");
            thread.setDaemon(true);
            thread.start();
        }

        Address address() {
            return new Address("127.0.0.1", listener.getLocalPort());
        }

        /** Returns how long after the end of the next connection its reset was sent. */
        long resetDelayNanos() {
            try {
                return resetDelaysNanos.take();
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }

        @Override
        public void close() throws IOException {
            listener.close();
        }

        private void serve() {
            while (!listener.isClosed()) {
                try (Socket socket = listener.accept()) {
                    String head = RawEndpoint.readHead(socket.getInputStream());
                    int length = head.lines()
                            .filter(line -> line.startsWith("content-length: "))
                            .map(line -> Integer.parseInt(line.substring("content-length: ".length())))
                            .findFirst()
                            .orElse(0);
                    if (readsRequest) {
                        socket.getInputStream().readNBytes(length);
                    }
                    socket.getOutputStream().write(ascii(answer));
                    socket.shutdownOutput();
                    long endNanos = System.nanoTime();
                    // Closing a connection with unread bytes resets it.
                    socket.close();
                    resetDelaysNanos.add(System.nanoTime() - endNanos);
                } catch (IOException e) {
                    // The listener is closed, or this connection failed: wait for the next one.
                    continue;
                }
            }
        }
    }
}
