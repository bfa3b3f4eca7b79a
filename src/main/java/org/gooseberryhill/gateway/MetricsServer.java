package org.gooseberryhill.gateway;

import io.netty.channel.EventLoopGroup;
import java.io.Closeable;
import java.util.Map;
import org.gooseberryhill.http.BodyCollector;
import org.gooseberryhill.http.HttpCall;
import org.gooseberryhill.http.HttpLimits;
import org.gooseberryhill.http.HttpServer;
import org.gooseberryhill.http.RequestBodyHandler;
import org.gooseberryhill.link.Address;
import org.gooseberryhill.metrics.MetricRegistry;

/** Serves a gateway's metrics at {@code /metrics}. Thread-safe. */
final class MetricsServer implements Closeable {
    private static final int MAX_BODY_BYTES = 1024;
    private static final int OK = 200;

    private final GatewayContext context;
    private final HttpServer server;

    /** Starts listening. */
    MetricsServer(EventLoopGroup group, GatewayContext context, Address address) {
        this.context = context;
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
        context.loop()
                .execute(() -> call.reply(
                        OK,
                        Map.of("content-type", MetricRegistry.CONTENT_TYPE),
                        context.metrics().all().toPrometheusText()));
    }
}
