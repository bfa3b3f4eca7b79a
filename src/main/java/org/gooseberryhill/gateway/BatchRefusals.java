package org.gooseberryhill.gateway;

import java.util.Optional;
import org.gooseberryhill.contract.ErrorCode;
import org.gooseberryhill.contract.Outcome;
import org.gooseberryhill.contract.Refusal;
import org.gooseberryhill.http.HttpCall;
import org.gooseberryhill.timeline.EventKind;

/** Sends refusals of calls about request batches. Thread-safe. */
final class BatchRefusals {
    private static final long RETRY_AFTER_MILLIS = 1000;

    private final GatewayContext context;
    private final GatewayTraffic traffic;

    BatchRefusals(GatewayContext context, GatewayTraffic traffic) {
        this.context = context;
        this.traffic = traffic;
    }

    /** Refuses a call because the key-value store does not answer. */
    void unavailable(HttpCall call, String id, boolean mayHaveRun) {
        refuse(
                call,
                id,
                new Refusal(
                        ErrorCode.PLATFORM_UNAVAILABLE,
                        mayHaveRun ? Outcome.MAY_HAVE_RUN : Outcome.NOT_RUN,
                        "the key-value store does not answer",
                        Optional.of(RETRY_AFTER_MILLIS)));
    }

    /** Refuses a call and records that on the timeline. */
    void refuse(HttpCall call, String id, Refusal refusal) {
        context.timeline()
                .event(EventKind.BATCH_REFUSED)
                .job(id)
                .with("code", refusal.code().wireName())
                .with("reason", refusal.message())
                .write();
        traffic.refuse(call, id, refusal);
    }
}
