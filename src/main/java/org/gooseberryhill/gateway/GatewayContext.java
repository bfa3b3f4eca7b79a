package org.gooseberryhill.gateway;

import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.gooseberryhill.control.ControlLoop;
import org.gooseberryhill.decision.dispatch.DispatchCore;
import org.gooseberryhill.decision.dispatch.Fleet;
import org.gooseberryhill.decision.drain.PlannedStop;
import org.gooseberryhill.dialect.Dialects;
import org.gooseberryhill.external.PollingKeyValueStore;
import org.gooseberryhill.http.HttpClient;
import org.gooseberryhill.peer.PeerClient;
import org.gooseberryhill.timeline.Timeline;

/**
 * What the parts of the gateway share. Immutable; its parts say how they may be used.
 *
 * @param settingsInForce the settings as last read
 * @param processStart tells this process from earlier ones of the same host
 * @param loop the control thread
 * @param http the HTTP client
 * @param peers the peer client
 * @param store the key-value store
 * @param dialects how the outside spells what the system understands
 * @param fleet the endpoints; for the control thread
 * @param core the decisions about routed requests; for the control thread
 * @param stop the planned stop
 * @param timeline the time line
 * @param metrics the metrics
 */
record GatewayContext(
        Supplier<GatewaySettings> settingsInForce,
        String processStart,
        ControlLoop loop,
        HttpClient http,
        PeerClient peers,
        PollingKeyValueStore store,
        Dialects dialects,
        Fleet fleet,
        DispatchCore core,
        PlannedStop stop,
        Timeline timeline,
        GatewayMetrics metrics) {
    /** The settings in force; a reload may change some of them. */
    GatewaySettings settings() {
        return settingsInForce.get();
    }

    long nowNanos() {
        return loop.nowNanos();
    }

    /** Runs a callback of a future on the control thread. */
    <T> void onLoop(CompletableFuture<T> future, Completion<T> completion) {
        future.whenComplete((result, failure) -> loop.execute(() -> completion.completed(result, failure)));
    }

    /** What happens when a future ends: one of the two is null. */
    @FunctionalInterface
    interface Completion<T> {
        void completed(T result, Throwable failure);
    }
}
