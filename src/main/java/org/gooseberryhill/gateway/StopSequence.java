package org.gooseberryhill.gateway;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.gooseberryhill.decision.drain.PlannedStop;
import org.gooseberryhill.http.HttpServer;
import org.gooseberryhill.http.ServerShutdown;
import org.gooseberryhill.registration.HostRegistration;
import org.gooseberryhill.timeline.EventKind;

/** Carries out the planned stop of a gateway. Confined to the control thread. */
final class StopSequence {
    private static final long CHECK_PERIOD_MILLIS = 25;

    /** Maximum time that the stop waits for the removal of the host's key, which otherwise expires with its lease. */
    private static final long REMOVAL_TIMEOUT_MILLIS = 500;

    private final GatewayContext context;
    private final GatewayTraffic traffic;
    private final BatchRunner runner;
    private final BatchHandOver handOver;
    private final HostRegistration registration;
    private final Supplier<HttpServer> callers;
    private final Runnable onRequested;
    private final CompletableFuture<Void> ended = new CompletableFuture<>();

    /**
     * Creates the stop sequence of a gateway.
     *
     * @param callers supplies the server for callers, once the process has started
     * @param onRequested notifies the load balancer and the other hosts
     */
    StopSequence(
            GatewayContext context,
            GatewayTraffic traffic,
            BatchRunner runner,
            BatchHandOver handOver,
            HostRegistration registration,
            Supplier<HttpServer> callers,
            Runnable onRequested) {
        this.context = context;
        this.traffic = traffic;
        this.runner = runner;
        this.handOver = handOver;
        this.registration = registration;
        this.callers = callers;
        this.onRequested = onRequested;
        context.loop().failWith(ended);
    }

    /** Starts the stop that was requested at the given time; a second call changes nothing. */
    void requestStop(long requestedNanos) {
        if (context.stop().phase() != PlannedStop.Phase.SERVING) {
            return;
        }
        context.timeline()
                .event(EventKind.PROCESS_STOPPING)
                .with("inProgress", traffic.inProgress())
                .with("items", runner.runningItems())
                .with("batches", handOver.openBatchCount())
                .with("sinceAskedMillis", TimeUnit.NANOSECONDS.toMillis(context.nowNanos() - requestedNanos))
                .write();
        context.stop().request(requestedNanos);
        onRequested.run();
        runner.stopStarting();
        runner.cancelAllRuns();
        advance();
        context.loop().every(CHECK_PERIOD_MILLIS, this::advance);
    }

    /** Returns a future that completes when the stop is over, exceptionally if the control thread has failed. */
    CompletableFuture<Void> ended() {
        return ended;
    }

    private void advance() {
        if (context.stop().phase() == PlannedStop.Phase.ENDED) {
            return;
        }
        handOver.offerBatches();
        int inProgress = traffic.inProgress() + runner.runningItems() + handOver.openBatchCount();
        HttpServer server = callers.get();
        PlannedStop.Phase phase = context.stop().advance(inProgress, !server.isDrained(), context.nowNanos());
        ServerShutdown.applyPhase(server, phase);
        if (context.stop().endsSoon(context.nowNanos())) {
            // The control thread decides, since it may be about to start the request or may have sent it on already.
            server.forEachOpenCall(call -> context.loop().execute(call::giveLastAnswer));
        }
        if (phase == PlannedStop.Phase.ENDED) {
            runner.cancelAllRuns();
            registration.remove(() -> complete(inProgress));
            context.loop().after(REMOVAL_TIMEOUT_MILLIS, () -> complete(inProgress));
        }
    }

    private void complete(int inProgress) {
        if (ended.isDone()) {
            return;
        }
        context.timeline()
                .event(EventKind.PROCESS_ENDED)
                .with("inProgress", inProgress)
                .with("unanswered", callers.get().requestsInProgress())
                .with("openConnections", callers.get().openConnections())
                .write();
        ended.complete(null);
    }
}
