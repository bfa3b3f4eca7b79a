package org.gooseberryhill.gateway;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
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
 * Objects that the classes of the gateway share. Immutable; each component documents how it may be used.
 *
 * @param settingsInForce supplies the settings as last read
 * @param processStart id that distinguishes this process from earlier ones of the same host
 * @param loop control thread
 * @param http HTTP client
 * @param peers client for calls to other hosts
 * @param store key-value store
 * @param dialects translations of external formats
 * @param fleet endpoints; confined to the control thread
 * @param core decisions about routed requests; confined to the control thread
 * @param stop planned stop
 * @param timeline log of events
 * @param metrics metrics
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
    private static final long DELIVERY_REPEAT_MILLIS = 500;

    /** Returns the settings in force; a reload may change some of them. */
    GatewaySettings settings() {
        return settingsInForce.get();
    }

    long nowNanos() {
        return loop.nowNanos();
    }

    /** Runs a callback on the control thread when a future completes. */
    <T> void onLoop(CompletableFuture<T> future, Completion<T> completion) {
        future.whenComplete((result, failure) -> loop.execute(() -> completion.completed(result, failure)));
    }

    /**
     * Creates a delivery that is repeated on the control thread to the receivers that throw.
     *
     * @param onDelivered gets each value that all receivers have taken
     */
    <T> LatestValueDelivery<T> newDelivery(String name, List<Consumer<T>> receivers, Consumer<T> onDelivered) {
        return new LatestValueDelivery<>(
                name, timeline, task -> loop.after(DELIVERY_REPEAT_MILLIS, task), receivers, onDelivered);
    }

    /** Callback for the completion of a future: one of its two arguments is null. */
    @FunctionalInterface
    interface Completion<T> {
        void completed(T result, Throwable failure);
    }
}
