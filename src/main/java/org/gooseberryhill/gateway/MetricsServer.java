package org.gooseberryhill.gateway;

import io.netty.channel.EventLoopGroup;
import java.io.Closeable;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.gooseberryhill.control.ControlLoop;
import org.gooseberryhill.http.BodyCollector;
import org.gooseberryhill.http.HttpCall;
import org.gooseberryhill.http.HttpLimits;
import org.gooseberryhill.http.HttpServer;
import org.gooseberryhill.http.RequestBodyHandler;
import org.gooseberryhill.link.Address;
import org.gooseberryhill.metrics.MetricRegistry;

/**
 * Serves a gateway's metrics at {@code /metrics}. Thread-safe.
 *
 * <p>Invariant: a scrape is answered while the control thread stands still, with the delay of that thread only.
 */
final class MetricsServer implements Closeable {
    private static final int MAX_BODY_BYTES = 1024;
    private static final int OK = 200;

    /** Maximum time that an answer waits for the control thread. */
    private static final long CONTROL_THREAD_TIMEOUT_MILLIS = 1000;

    private final EventLoopGroup group;
    private final ControlLoop loop;
    private final MetricRegistry metrics;
    private final MetricRegistry delayMetrics = new MetricRegistry();
    private final HttpServer server;

    /** Starts listening. */
    MetricsServer(EventLoopGroup group, ControlLoop loop, MetricRegistry metrics, Address address) {
        this.group = group;
        this.loop = loop;
        this.metrics = metrics;
        addDelayGauge(metrics);
        addDelayGauge(delayMetrics);
        this.server = HttpServer.start(group, address, HttpLimits.DEFAULT, this::handle);
    }

    @Override
    public void close() {
        server.close();
    }

    private RequestBodyHandler handle(HttpCall call) {
        return new BodyCollector(MAX_BODY_BYTES, body -> answer(call), () -> call.reply(413, Map.of(), new byte[0]));
    }

    private void answer(HttpCall call) {
        if (!call.path().equals("/metrics")) {
            call.reply(404, Map.of(), new byte[0]);
            return;
        }
        // Gauges read control state, so they are read on the control thread.
        AtomicBoolean answered = new AtomicBoolean();
        loop.execute(() -> answerOnce(call, answered, metrics));
        group.schedule(
                () -> answerOnce(call, answered, delayMetrics), CONTROL_THREAD_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private static void answerOnce(HttpCall call, AtomicBoolean answered, MetricRegistry registry) {
        if (answered.compareAndSet(false, true)) {
            call.reply(OK, Map.of("content-type", MetricRegistry.CONTENT_TYPE), registry.toPrometheusText());
        }
    }

    private void addDelayGauge(MetricRegistry registry) {
        registry.gauge(
                "gooseberry_control_thread_delay_seconds",
                "Time since the control thread last took a task or a timer",
                () -> loop.delayNanos() / (double) TimeUnit.SECONDS.toNanos(1));
    }
}
