package org.gooseberryhill.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.gooseberryhill.Loopback;
import org.gooseberryhill.control.ControlLoop;
import org.gooseberryhill.http.ExchangeRequest;
import org.gooseberryhill.http.HttpClient;
import org.gooseberryhill.link.Address;
import org.gooseberryhill.metrics.MetricRegistry;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class MetricsServerTest {
    private static final String DELAY = "\ngooseberry_control_thread_delay_seconds ";
    private static final int TIMEOUT_MILLIS = 10_000;
    private static final int MAX_BYTES = 10_000;

    private final EventLoopGroup group = Loopback.newEventLoopGroup();
    private final HttpClient client = new HttpClient(group);
    private final ControlLoop loop = new ControlLoop("test");
    private final MetricRegistry metrics = new MetricRegistry();
    private final Address address = Loopback.freeAddress();
    private final MetricsServer server = new MetricsServer(group, loop, metrics, address);
    private final CompletableFuture<Void> released = new CompletableFuture<>();

    @AfterEach
    void close() {
        released.complete(null);
        server.close();
        client.close();
        loop.close();
        group.shutdownGracefully();
    }

    @Test
    void allMetricsAreServed() {
        metrics.gauge("state", "Control state", () -> 1);

        assertThat(scrape()).contains("\nstate 1.0").contains(DELAY);
    }

    /** A control thread that stands still would keep the metrics that show so from being read. */
    @Test
    void theDelayOfAStandingControlThreadIsServed() {
        metrics.gauge("state", "Control state", () -> 1);
        loop.execute(released::join);

        String text = scrape();

        assertThat(text).doesNotContain("state");
        assertThat(Double.parseDouble(text.split(DELAY)[1].strip())).isBetween(0.5, 100.0);
    }

    private String scrape() {
        ExchangeRequest request =
                new ExchangeRequest(address, "GET", "/metrics", Map.of(), new byte[0], TIMEOUT_MILLIS, false);
        return new String(client.call(request, MAX_BYTES).join().body(), StandardCharsets.UTF_8);
    }
}
