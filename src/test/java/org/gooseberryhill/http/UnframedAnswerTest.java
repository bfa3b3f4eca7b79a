package org.gooseberryhill.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.gooseberryhill.http.RawEndpoint.ascii;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.Loopback;
import org.gooseberryhill.link.Address;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests responses that end with their connection, in exchanges that accept them. */
class UnframedAnswerTest {
    /** Far longer than a response takes; ends a test that would otherwise hang. */
    private static final int SILENCE_MILLIS = 60_000;

    private static final int MAX_ANSWER_BYTES = 100;
    private static final String HEAD = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n";
    private static final ExchangeOptions OPTIONS = new ExchangeOptions(
            SILENCE_MILLIS,
            ExchangeOptions.DEFAULT_CONNECT_TIMEOUT_MILLIS,
            Integer.MAX_VALUE,
            true,
            ResponseMatcher.NONE,
            0);

    private final EventLoopGroup clientGroup = Loopback.newEventLoopGroup();
    private final EventLoopGroup serverGroup = Loopback.newEventLoopGroup();
    private final HttpClient client = new HttpClient(clientGroup);

    @AfterEach
    void close() {
        client.close();
        clientGroup.shutdownGracefully();
        serverGroup.shutdownGracefully();
    }

    @Test
    void theEndOfTheConnectionEndsTheAnswer() throws IOException {
        try (RawEndpoint endpoint = new RawEndpoint(ascii(HEAD + "hello"), false)) {
            assertThat(call(endpoint.address()).join().body()).isEqualTo(ascii("hello"));
        }
    }

    /** Guards against a response that counts as complete although its connection was reset. */
    @Test
    void aResetDoesNotEndTheAnswer() throws IOException {
        try (RawEndpoint endpoint = new RawEndpoint(ascii(HEAD + "hello"), true)) {
            assertThatThrownBy(() -> call(endpoint.address()).join()).hasMessageContaining("CONNECTION_LOST");
        }
    }

    /** Guards against an empty response that counts as complete although its head is truncated. */
    @Test
    void theEndOfTheConnectionInsideTheHeadIsAFailure() throws IOException {
        for (int length = 0; length < HEAD.length(); length++) {
            byte[] part = Arrays.copyOf(ascii(HEAD), length);
            try (RawEndpoint endpoint = new RawEndpoint(part, false)) {
                assertThat(call(endpoint.address()))
                        .as("cut after %d bytes", length)
                        .failsWithin(SILENCE_MILLIS, TimeUnit.MILLISECONDS);
            }
        }
    }

    /** Guards against a response that counts as complete because this process closes its connections as it ends. */
    @Test
    void theEndOfThisProcessDoesNotEndTheAnswer() throws InterruptedException {
        BlockingQueue<HttpCall> calls = new LinkedBlockingQueue<>();
        Address address = Loopback.freeAddress();
        try (HttpServer endpoint = HttpServer.start(
                serverGroup,
                address,
                HttpLimits.DEFAULT,
                call -> new BodyCollector(MAX_ANSWER_BYTES, body -> calls.add(call), () -> {}))) {
            EndListener listener = new EndListener();
            client.start(request(address), listener);
            HttpCall call = calls.take();
            call.beginStream(200, List.of(), BodyFraming.CONNECTION_CLOSE);
            call.write(ascii("part"));
            listener.begun.join();

            clientGroup.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);

            assertThat(listener.end.join()).isEqualTo("CONNECTION_LOST");
        }
    }

    private CompletableFuture<HttpResult> call(Address address) {
        return client.call(request(address), MAX_ANSWER_BYTES);
    }

    private static ExchangeRequest request(Address address) {
        return new ExchangeRequest(address, "GET", "/", Map.<String, String>of().entrySet(), new byte[0], OPTIONS);
    }

    /** Tells when a body has begun, and whether the exchange ended as complete or with which failure. */
    private static final class EndListener implements ExchangeListener {
        private final CompletableFuture<Void> begun = new CompletableFuture<>();
        private final CompletableFuture<String> end = new CompletableFuture<>();

        @Override
        public void onHead(int status, HttpHeaders headers) {}

        @Override
        public void onBytes(byte[] bytes) {
            begun.complete(null);
        }

        @Override
        public void onEnd() {
            end.complete("complete");
        }

        @Override
        public void onFailure(ExchangeFailure failure) {
            end.complete(failure.kind().name());
        }
    }
}
