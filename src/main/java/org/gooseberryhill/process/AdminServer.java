package org.gooseberryhill.process;

import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.vavr.control.Try;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.util.Map;
import java.util.function.DoubleSupplier;
import org.gooseberryhill.decision.drain.PlannedStop;
import org.gooseberryhill.http.BodyCollector;
import org.gooseberryhill.http.HttpCall;
import org.gooseberryhill.http.HttpLimits;
import org.gooseberryhill.http.HttpServer;
import org.gooseberryhill.http.RequestBodyHandler;
import org.gooseberryhill.link.Address;
import org.gooseberryhill.link.Json;

/**
 * Serves {@code /healthz}, {@code /readyz} and {@code /metrics} of a process without a caller API. Thread-safe.
 *
 * <p>An entry process serves the same paths next to its caller API and adds its own metrics.
 */
public final class AdminServer implements Closeable {
    private static final int MAX_BODY_BYTES = 1024;
    private static final int OK = 200;
    private static final int NOT_READY = 503;
    private static final Map<String, String> JSON = Map.of("content-type", "application/json");

    private final HostProcess process;
    private final PrometheusRegistry registry;
    private final HttpServer server;

    /** Binds the address and starts serving. */
    public AdminServer(HostProcess process, Address address) {
        this.process = process;
        this.registry = new PrometheusRegistry();
        registerMetrics(process, registry);
        this.server = HttpServer.start(process.eventLoopGroup(), address, HttpLimits.DEFAULT, this::handle);
    }

    /** Registers the metrics that all processes have. */
    public static void registerMetrics(HostProcess process, PrometheusRegistry registry) {
        registerGauge(
                registry,
                "gooseberry_configuration_revision",
                "Revision in force",
                () -> process.configuration().revision());
        registerGauge(
                registry,
                "gooseberry_peers_present",
                "Other hosts that are not thought dead",
                () -> process.membership().presentHosts().size());
        registerGauge(
                registry,
                "gooseberry_peer_messages_sent",
                "Messages sent to other processes",
                () -> process.peerClient().sentMessages());
        registerGauge(
                registry,
                "gooseberry_peer_bytes_sent",
                "Bytes sent to other processes",
                () -> process.peerClient().traffic().sentBytes());
        registerGauge(
                registry,
                "gooseberry_peer_bytes_received",
                "Bytes received from other processes",
                () -> process.peerClient().traffic().receivedBytes());
        registerGauge(
                registry,
                "gooseberry_key_value_calls",
                "Calls of the key-value service",
                () -> process.keyValue().callCount());
    }

    /** Replies to a call with the metrics of a registry in the Prometheus text format. */
    public static void replyMetrics(HttpCall call, PrometheusRegistry registry) {
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        Try.run(() -> PrometheusTextFormatWriter.create().write(text, registry.scrape()))
                .onSuccess(done -> call.reply(
                        OK, Map.of("content-type", PrometheusTextFormatWriter.CONTENT_TYPE), text.toByteArray()))
                .onFailure(failure -> call.reply(500, JSON, new byte[0]));
    }

    @Override
    public void close() {
        server.close();
    }

    private RequestBodyHandler handle(HttpCall call) {
        return new BodyCollector(MAX_BODY_BYTES, body -> answer(call), () -> call.reply(413, JSON, new byte[0]));
    }

    private void answer(HttpCall call) {
        switch (call.path()) {
            case "/healthz" -> call.reply(OK, JSON, Json.bytes(Map.of("alive", true)));
            case "/readyz" ->
                process.loop().execute(() -> {
                    boolean ready = process.plannedStop().phase() == PlannedStop.Phase.SERVING
                            && process.configuration().revision() > 0;
                    call.reply(ready ? OK : NOT_READY, JSON, Json.bytes(Map.of("ready", ready)));
                });
            // The callbacks of the gauges read control state, so the scrape runs on the control thread.
            case "/metrics" -> process.loop().execute(() -> replyMetrics(call, registry));
            default -> call.reply(404, JSON, Json.bytes(Map.of("error", "no such path")));
        }
    }

    private static void registerGauge(PrometheusRegistry registry, String name, String help, DoubleSupplier value) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .callback(callback -> callback.call(value.getAsDouble()))
                .register(registry);
    }
}
