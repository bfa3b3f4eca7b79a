package org.gooseberryhill.gateway;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.gooseberryhill.decision.drain.PlannedStop;
import org.gooseberryhill.http.HttpServer;
import org.gooseberryhill.http.StoppingServer;
import org.gooseberryhill.registration.HostRegistration;
import org.gooseberryhill.timeline.EventKind;

/** Carries out the planned stop of a gateway. For the control thread. */
final class StopSequence {
    private static final long CHECK_MILLIS = 25;

    /** The end waits no longer for the host's key to be taken back: without that its lease runs out. */
    private static final long RELEASE_MILLIS = 500;

    private final GatewayContext context;
    private final GatewayTraffic traffic;
    private final BatchRunner runner;
    private final BatchHandOver handOver;
    private final HostRegistration registration;
    private final Supplier<HttpServer> callers;
    private final Runnable onAsked;
    private final CompletableFuture<Void> ended = new CompletableFuture<>();

    /**
     * The stop of a gateway.
     *
     * @param callers what listens for callers, once the process has started
     * @param onAsked tells the balancer and the other hosts
     */
    StopSequence(
            GatewayContext context,
            GatewayTraffic traffic,
            BatchRunner runner,
            BatchHandOver handOver,
            HostRegistration registration,
            Supplier<HttpServer> callers,
            Runnable onAsked) {
        this.context = context;
        this.traffic = traffic;
        this.runner = runner;
        this.handOver = handOver;
        this.registration = registration;
        this.callers = callers;
        this.onAsked = onAsked;
    }

    /** Begins the stop that was asked for at a moment; a second time changes nothing. */
    void ask(long askedNanos) {
        if (context.stop().phase() != PlannedStop.Phase.SERVING) {
            return;
        }
        context.timeline()
                .event(EventKind.PROCESS_STOPPING)
                .with("inProgress", traffic.inProgress())
                .with("items", runner.running())
                .with("batches", handOver.left())
                .with("sinceAskedMillis", TimeUnit.NANOSECONDS.toMillis(context.nowNanos() - askedNanos))
                .write();
        context.stop().ask(askedNanos);
        onAsked.run();
        runner.pause();
        runner.stopAll();
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
        HttpServer server = callers.get();
        PlannedStop.Phase phase = context.stop().advance(inProgress, !server.isDrained(), context.nowNanos());
        StoppingServer.follow(server, phase);
        if (phase == PlannedStop.Phase.ENDED) {
            runner.stopAll();
            registration.release(() -> end(inProgress));
            context.loop().after(RELEASE_MILLIS, () -> end(inProgress));
        }
    }

    private void end(int inProgress) {
        if (ended.isDone()) {
            return;
        }
        context.timeline()
                .event(EventKind.PROCESS_ENDED)
                .with("inProgress", inProgress)
                .with("unanswered", callers.get().unanswered())
                .with("openConnections", callers.get().openConnections())
                .write();
        ended.complete(null);
    }
}
