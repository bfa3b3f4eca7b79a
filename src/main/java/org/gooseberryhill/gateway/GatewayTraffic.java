package org.gooseberryhill.gateway;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.gooseberryhill.contract.ErrorCode;
import org.gooseberryhill.contract.Outcome;
import org.gooseberryhill.contract.Refusal;
import org.gooseberryhill.decision.dispatch.ServiceState;
import org.gooseberryhill.decision.promptpart.PromptPartQuarantine;
import org.gooseberryhill.external.KeyChange;
import org.gooseberryhill.http.HttpCall;
import org.gooseberryhill.link.Json;
import org.gooseberryhill.stored.StoredKeys;

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

    private static final Refusal CUT_SHORT =
            Refusal.mayHaveRun(ErrorCode.STOPPING, "this host ends before the request has its answer");

    private static final double MILLIS_PER_SECOND = 1000;

    private final GatewayContext context;
    private final CrashTracking crashTracking;
    private final SlotExchange slots;
    private final StreamOrigins streamOrigins;
    private final PromptPartQuarantine quarantine;
    private final PromptPartTracking promptParts;
    private final PermitExchange permits;
    private final LongSupplier directoryAgeMillis;
    private int inProgress;
    private long configurationVersion;

    /**
     * Creates the state of a host with no request in progress.
     *
     * @param quarantine the parts of prompts that crash endpoints
     * @param slots exchange with the coordinators of endpoints
     * @param directoryAgeMillis supplies the time since the last moment at which the list of endpoints was certainly up
     *     to date, in milliseconds
     */
    GatewayTraffic(
            GatewayContext context,
            PeerLinks links,
            CrashTracking crashTracking,
            PromptPartQuarantine quarantine,
            SlotExchange slots,
            LongSupplier directoryAgeMillis) {
        this.context = context;
        this.crashTracking = crashTracking;
        this.slots = slots;
        this.streamOrigins = new StreamOrigins(context, links);
        this.quarantine = quarantine;
        this.promptParts = new PromptPartTracking(context, links, quarantine);
        this.permits = new PermitExchange(context, links);
        this.directoryAgeMillis = directoryAgeMillis;
    }

    /** Adds the gauges of requests and of what they depend on. */
    void addGauges() {
        GatewayMetrics metrics = context.metrics();
        metrics.gauge("gooseberry_requests_in_progress", "Routed requests in progress", () -> inProgress);
        metrics.gauge(
                "gooseberry_connects", "Connections made", () -> context.http().connectionAttempts());
        metrics.gauge("gooseberry_configuration_version", "Configuration in force", () -> configurationVersion);
        metrics.gauge("gooseberry_prompt_parts_blocked", "Blocked parts of prompts", quarantine::blockCount);
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

    /** Returns the receivers of the records that are kept beside the list of hosts, by key. */
    Map<String, Consumer<KeyChange>> recordReceivers() {
        return Map.of(
                StoredKeys.VERSIONS,
                streamOrigins::versionRecordRead,
                StoredKeys.QUARANTINE,
                promptParts::quarantineRecordRead);
    }

    /** Returns what observes which parts of prompts crash endpoints. */
    PromptPartTracking promptParts() {
        return promptParts;
    }

    /** Returns what asks for permits to run requests with suspected parts of prompts. */
    PermitExchange permits() {
        return permits;
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

    /** Returns the final answer to a request that is unanswered when this host ends. */
    static Refusal refusalAtEnd(Outcome outcome) {
        return outcome == Outcome.NOT_RUN ? STOPPING_REFUSAL : CUT_SHORT;
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
