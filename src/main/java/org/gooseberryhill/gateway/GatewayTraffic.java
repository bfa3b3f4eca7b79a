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

/** What all requests of this host share: how many are in progress, and how a refusal looks. For the control thread. */
final class GatewayTraffic {
    /** Another host takes it at once. */
    private static final long STOPPING_RETRY_AFTER_MILLIS = 10;

    /** The refusal of what comes so late in a stop that it might be cut. */
    static final Refusal STOPPING =
            Refusal.notRun(ErrorCode.STOPPING, "this host is about to end", STOPPING_RETRY_AFTER_MILLIS);

    private static final double MILLIS_PER_SECOND = 1000;

    private final GatewayContext context;
    private final CrashTracking crashes;
    private final Runnable onLoadChange;
    private final LongSupplier directoryAgeMillis;
    private int inProgress;
    private long configurationVersion;

    /**
     * Nothing in progress yet.
     *
     * @param onLoadChange what this host has in flight has changed
     * @param directoryAgeMillis how old the list of endpoints may be
     */
    GatewayTraffic(
            GatewayContext context, CrashTracking crashes, Runnable onLoadChange, LongSupplier directoryAgeMillis) {
        this.context = context;
        this.crashes = crashes;
        this.onLoadChange = onLoadChange;
        this.directoryAgeMillis = directoryAgeMillis;
    }

    /** A configuration came into force. */
    void configured(long version) {
        configurationVersion = version;
    }

    long configurationVersion() {
        return configurationVersion;
    }

    long directoryAgeMillis() {
        return directoryAgeMillis.getAsLong();
    }

    ServiceState service(String service) {
        return context.fleet().state(service, context.nowNanos());
    }

    CrashTracking crashes() {
        return crashes;
    }

    int inProgress() {
        return inProgress;
    }

    void began() {
        inProgress++;
    }

    void ended() {
        inProgress--;
    }

    /** What this host has in flight at endpoints has changed. */
    void loadChanged() {
        onLoadChange.run();
    }

    /** Gives a caller its refusal; from any thread. */
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
        int status = context.dialects().traffic().status(refusal);
        call.reply(status, headers, error.getBytes(StandardCharsets.UTF_8));
    }
}
