package org.gooseberryhill.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.gooseberryhill.http.RawEndpoint.ascii;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.Loopback;
import org.gooseberryhill.link.Address;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class PeriodicReadingTest {
    private static final int PERIOD_MILLIS = 50;
    private static final int SILENCE_MILLIS = 60_000;

    private final EventLoopGroup clientGroup = Loopback.newEventLoopGroup();
    private final EventLoopGroup endpointGroup = Loopback.newEventLoopGroup();
    private final HttpClient client = new HttpClient(clientGroup);
    private final Address address = Loopback.freeAddress();
    private final BlockingQueue<HttpCall> calls = new LinkedBlockingQueue<>();
    private final HttpServer endpoint = HttpServer.start(endpointGroup, address, HttpLimits.DEFAULT, this::handle);

    @AfterEach
    void close() {
        client.close();
        endpoint.close();
        clientGroup.shutdownGracefully();
        endpointGroup.shutdownGracefully();
    }

    @Test
    void aConnectionIsNotReadUntilTheNextPeriodBegins() {
        EmbeddedChannel connection = new EmbeddedChannel();
        PeriodicReading reading = new PeriodicReading(connection, PERIOD_MILLIS);

        reading.pauseUntilNextPeriod();
        boolean readWithinPeriod = connection.config().isAutoRead();
        connection.advanceTimeBy(PERIOD_MILLIS, TimeUnit.MILLISECONDS);
        connection.runScheduledPendingTasks();

        assertThat(readWithinPeriod).isFalse();
        assertThat(connection.config().isAutoRead()).isTrue();
    }

    /** Guards against a pooled connection whose close goes unnoticed, so that the next request is sent on it and is lost. */
    @Test
    void aConnectionIsReadAfterTheEndOfAResponseThatWasReadInPeriods() throws InterruptedException {
        CollectedAnswer answer = new CollectedAnswer();
        client.start(request(), answer);
        HttpCall call = calls.take();
        call.beginStream(200, Map.of());
        call.write(ascii("one "));
        Loopback.await("the first part", () -> answer.text().equals("one "));
        call.write(ascii("two "));
        call.write(ascii("three"));
        call.endStream();
        answer.ended.join();
        boolean keptForReuse = client.hasIdleConnection(address);

        endpoint.close();

        assertThat(answer.text()).isEqualTo("one two three");
        assertThat(keptForReuse).isTrue();
        Loopback.await("the close of the pooled connection", () -> !client.hasIdleConnection(address));
    }

    @Test
    void aResponseThatIsCutBetweenTwoPeriodsFails() throws InterruptedException {
        CollectedAnswer answer = new CollectedAnswer();
        client.start(request(), answer);
        HttpCall call = calls.take();
        call.beginStream(200, Map.of());
        call.write(ascii("one "));
        Loopback.await("the first part", () -> answer.text().equals("one "));

        call.abortStream();

        assertThat(answer.failed.join().kind()).isEqualTo(ExchangeFailure.Kind.CONNECTION_LOST);
    }

    private RequestBodyHandler handle(HttpCall call) {
        return new BodyCollector(100, body -> calls.add(call), () -> call.reply(413, Map.of(), new byte[0]));
    }

    private ExchangeRequest request() {
        ExchangeOptions options = new ExchangeOptions(
                SILENCE_MILLIS,
                ExchangeOptions.DEFAULT_CONNECT_TIMEOUT_MILLIS,
                Integer.MAX_VALUE,
                false,
                ResponseMatcher.NONE,
                PERIOD_MILLIS);
        return new ExchangeRequest(address, "GET", "/", Map.<String, String>of().entrySet(), new byte[0], options);
    }
}
