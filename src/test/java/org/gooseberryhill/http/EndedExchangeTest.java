package org.gooseberryhill.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.gooseberryhill.http.RawEndpoint.ascii;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import org.gooseberryhill.Loopback;
import org.gooseberryhill.link.Address;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests that calls on an ended exchange do not affect the next exchange on the same connection. */
class EndedExchangeTest {
    /** Far longer than a response takes; ends a test that would otherwise hang. */
    private static final int SILENCE_MILLIS = 60_000;

    private static final int MAX_ANSWER_BYTES = 100;

    private final EventLoopGroup group = Loopback.newEventLoopGroup();
    private final HttpClient client = new HttpClient(group);
    private final Address address = Loopback.freeAddress();
    private final BlockingQueue<HttpCall> calls = new LinkedBlockingQueue<>();
    private final HttpServer endpoint = HttpServer.start(group, address, HttpLimits.DEFAULT, this::handle);

    @AfterEach
    void close() {
        client.close();
        endpoint.close();
        group.shutdownGracefully();
    }

    /** Guards against a response that is cut off by the late cancellation of an earlier exchange on its connection. */
    @Test
    void cancellingAnEndedExchangeDoesNotCutOffTheNextOneOnItsConnection() throws InterruptedException {
        Exchange ended = completeExchange();
        CompletableFuture<HttpResult> next = startExchange();

        ended.cancel();
        answer("next");

        assertThat(next.join().body()).isEqualTo(ascii("next"));
        assertThat(client.connectionAttempts()).isEqualTo(1);
    }

    /** Guards against a response that is never read because an earlier exchange on its connection was paused late. */
    @Test
    void pausingAnEndedExchangeDoesNotPauseTheNextOneOnItsConnection() throws InterruptedException {
        Exchange ended = completeExchange();
        CompletableFuture<HttpResult> next = startExchange();

        ended.setAnswerReading(false);
        answer("next");

        assertThat(next.join().body()).isEqualTo(ascii("next"));
    }

    /** Guards against a reused connection that is never read because its exchange was paused as its response completed. */
    @Test
    void pausingAnExchangeAsItsAnswerCompletesLeavesItsConnectionReadable() throws InterruptedException {
        EndListener listener = new EndListener();
        Exchange exchange = client.start(request(), listener);
        listener.onHead = () -> exchange.setAnswerReading(false);
        answer("first");
        listener.ended.join();

        CompletableFuture<HttpResult> next = startExchange();
        answer("next");

        assertThat(next.join().body()).isEqualTo(ascii("next"));
    }

    /** Guards against an exchange that continues after it was cancelled while its response was pending. */
    @Test
    void cancellingAnExchangeInProgressClosesItsConnection() throws InterruptedException {
        EndListener listener = new EndListener();
        Exchange exchange = client.start(request(), listener);
        CompletableFuture<Void> disconnected = new CompletableFuture<>();
        calls.take().onDisconnect(() -> disconnected.complete(null));

        exchange.cancel();

        disconnected.join();
        assertThat(listener.ended).isNotDone();
    }

    private Exchange completeExchange() throws InterruptedException {
        EndListener listener = new EndListener();
        Exchange exchange = client.start(request(), listener);
        answer("first");
        listener.ended.join();
        return exchange;
    }

    private CompletableFuture<HttpResult> startExchange() {
        CompletableFuture<HttpResult> result = client.call(request(), MAX_ANSWER_BYTES);
        Loopback.await("the request at the endpoint", () -> !calls.isEmpty());
        return result;
    }

    private void answer(String text) throws InterruptedException {
        calls.take().reply(200, Map.of(), ascii(text));
    }

    private RequestBodyHandler handle(HttpCall call) {
        return new BodyCollector(
                MAX_ANSWER_BYTES, body -> calls.add(call), () -> call.reply(413, Map.of(), new byte[0]));
    }

    private ExchangeRequest request() {
        return new ExchangeRequest(address, "GET", "/", Map.of(), new byte[0], SILENCE_MILLIS, false);
    }

    /** Completes a future when the exchange has ended with a complete response. */
    private static final class EndListener implements ExchangeListener {
        private final CompletableFuture<Void> ended = new CompletableFuture<>();
        private volatile Runnable onHead = () -> {};

        @Override
        public void onHead(int status, HttpHeaders headers) {
            onHead.run();
        }

        @Override
        public void onBytes(byte[] bytes) {}

        @Override
        public void onEnd() {
            ended.complete(null);
        }

        @Override
        public void onFailure(ExchangeFailure failure) {
            ended.completeExceptionally(new ExchangeException(failure));
        }
    }
}
