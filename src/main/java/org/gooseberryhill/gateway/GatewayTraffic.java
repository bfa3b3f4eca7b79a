package org.gooseberryhill.gateway;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;
import org.gooseberryhill.contract.ErrorCode;
import org.gooseberryhill.contract.Refusal;
import org.gooseberryhill.decision.dispatch.ServiceState;
import org.gooseberryhill.http.HttpCall;
import org.gooseberryhill.link.Json;

/**
 * State that all requests of this host share, and the format of refusals. Confined to the control thread unless stated
 * otherwise.
 */
final class GatewayTraffic {
    /** Short, since another host accepts the request at once. */
    private static final long STOPPING_RETRY_AFTER_MILLIS = 10;

    /** Refusal of a request that arrives so late in a stop that it might be cut off. */
    static final Refusal STOPPING_REFUSAL =
            Refusal.notRun(ErrorCode.STOPPING, "this host is about to end", STOPPING_RETRY_AFTER_MILLIS);

    private static final double MILLIS_PER_SECOND = 1000;

    private final GatewayContext context;
    private final CrashTracking crashTracking;
    private final SlotExchange slots;
    private final StreamOrigins streamOrigins;
    private final EndpointCrashCheck crashCheck;
    private final LongSupplier directoryAgeMillis;
    private int inProgress;
    private long configurationVersion;

    /**
     * Creates the state of a host with no request in progress.
     *
     * @param slots exchange with the coordinators of endpoints
     * @param directoryAgeMillis supplies the time since the last moment at which the list of endpoints was certainly up
     *     to date, in milliseconds
     */
    GatewayTraffic(
            GatewayContext context,
            PeerLinks links,
            CrashTracking crashTracking,
            SlotExchange slots,
            LongSupplier directoryAgeMillis) {
        this.context = context;
        this.crashTracking = crashTracking;
        this.slots = slots;
        this.streamOrigins = new StreamOrigins(context, links);
        this.crashCheck = new EndpointCrashCheck(context);
        this.directoryAgeMillis = directoryAgeMillis;
    }

    /** Records the version of a configuration that came into force. */
    void setConfigurationVersion(long version) {
        configurationVersion = version;
    }

    long configurationVersion() {
        return configurationVersion;
    }

    long directoryAgeMillis() {
        return directoryAgeMillis.getAsLong();
    }

    ServiceState serviceState(String service) {
        return context.fleet().serviceState(service, context.nowNanos());
    }

    CrashTracking crashTracking() {
        return crashTracking;
    }

    /** Returns what finds out whether endpoints have crashed. */
    EndpointCrashCheck crashCheck() {
        return crashCheck;
    }

    int inProgress() {
        return inProgress;
    }

    void requestStarted() {
        inProgress++;
    }

    void requestEnded() {
        inProgress--;
    }

    SlotExchange slots() {
        return slots;
    }

    /** Returns what finds out which versions began streams. */
    StreamOrigins streamOrigins() {
        return streamOrigins;
    }

    /** Sends a refusal to a caller; may be called from any thread. */
    void refuse(HttpCall call, String requestId, Refusal refusal) {
        Map<String, String> headers = new HashMap<>();
        headers.put("content-type", "application/json");
        refusal.retryAfterMillis()
                .ifPresent(millis -> headers.put("retry-after", Double.toString(millis / MILLIS_PER_SECOND)));
        String error = Json.text(Json.object()
                .set(
                        "error",
                        Json.object()
                                .put("code", refusal.code().wireName())
                                .put("outcome", refusal.outcome().wireName())
                                .put("message", refusal.message())
                                .put("request_id", requestId)));
        int status = context.dialects().traffic().statusOf(refusal);
        call.reply(status, headers, error.getBytes(StandardCharsets.UTF_8));
    }
}
