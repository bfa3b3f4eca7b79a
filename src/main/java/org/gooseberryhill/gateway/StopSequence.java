package org.gooseberryhill.gateway;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import java.util.function.ToIntFunction;
import org.gooseberryhill.decision.drain.PlannedStop;
import org.gooseberryhill.http.HttpServer;
import org.gooseberryhill.registration.HostRegistration;
import org.gooseberryhill.timeline.EventKind;

/** Carries out the planned stop of a gateway. For the control thread. */
final class StopSequence {
    private static final long CHECK_MILLIS = 100;

    private final GatewayContext context;
    private final GatewayTraffic traffic;
    private final BatchRunner runner;
    private final BatchHandOver handOver;
    private final HostRegistration registration;
    private final Supplier<List<HttpServer>> servers;
    private final Runnable onAsked;
    private final CompletableFuture<Void> ended = new CompletableFuture<>();

    /**
     * The stop of a gateway.
     *
     * @param servers what listens for callers
     * @param onAsked tells the balancer and the other hosts
     */
    StopSequence(
            GatewayContext context,
            GatewayTraffic traffic,
            BatchRunner runner,
            BatchHandOver handOver,
            HostRegistration registration,
            Supplier<List<HttpServer>> servers,
            Runnable onAsked) {
        this.context = context;
        this.traffic = traffic;
        this.runner = runner;
        this.handOver = handOver;
        this.registration = registration;
        this.servers = servers;
        this.onAsked = onAsked;
    }

    /** Asks for the stop; a second time changes nothing. */
    void ask() {
        if (context.stop().phase() != PlannedStop.Phase.SERVING) {
            return;
        }
        context.timeline()
                .event(EventKind.PROCESS_STOPPING)
                .with("inProgress", traffic.inProgress())
                .with("items", runner.running())
                .with("batches", handOver.left())
                .write();
        context.stop().ask(context.nowNanos());
        onAsked.run();
        runner.pause();
        runner.stopAll();
        servers.get().forEach(HttpServer::closeAfterAnswers);
        advance();
        context.loop().every(CHECK_MILLIS, this::advance);
    }

    /** Completes when the stop is over. */
    CompletableFuture<Void> ended() {
        return ended;
    }

    private void advance() {
        if (context.stop().phase() == PlannedStop.Phase.ENDED) {
            return;
        }
        handOver.advance();
        int inProgress = traffic.inProgress() + runner.running() + handOver.left();
        PlannedStop.Phase phase = context.stop().advance(inProgress, context.nowNanos());
        if (phase == PlannedStop.Phase.DRAINING) {
            servers.get().forEach(HttpServer::closeIdle);
        }
        if (phase == PlannedStop.Phase.ENDED) {
            runner.stopAll();
            registration.release(() -> end(inProgress));
        }
    }

    private void end(int inProgress) {
        context.timeline()
                .event(EventKind.PROCESS_ENDED)
                .with("inProgress", inProgress)
                .with("unanswered", sum(HttpServer::unanswered))
                .with("openConnections", sum(HttpServer::openConnections))
                .write();
        ended.complete(null);
    }

    private int sum(ToIntFunction<HttpServer> number) {
        return servers.get().stream().mapToInt(number).sum();
    }
}
