package org.gooseberryhill.gateway;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.decision.dispatch.AttemptEnd;
import org.gooseberryhill.decision.dispatch.PlacementFacts;
import org.gooseberryhill.decision.dispatch.RoutedRequest;
import org.gooseberryhill.decision.dispatch.ServiceState;
import org.gooseberryhill.directory.EndpointEntry;
import org.gooseberryhill.timeline.EventBuilder;
import org.gooseberryhill.timeline.EventKind;

/** Writes the log lines of one routed request. Confined to the control thread. */
final class RoutedCallLog {
    private final GatewayContext context;
    private final GatewayTraffic traffic;
    private final RoutedRequest request;
    private final Optional<String> firstRequestId;

    /**
     * Creates the log of a request.
     *
     * @param firstRequestId id of the client attempt that brought the first event of the stream, if the request resumes one
     */
    RoutedCallLog(
            GatewayContext context, GatewayTraffic traffic, RoutedRequest request, Optional<String> firstRequestId) {
        this.context = context;
        this.traffic = traffic;
        this.request = request;
        this.firstRequestId = firstRequestId;
    }

    /** Returns which bound the request has exceeded, for its refusal. */
    String deadlineExceededReason(boolean answerBegun) {
        long timeoutMillis = request.info().route().timeoutMillis();
        String bound = allowedMillis() >= timeoutMillis ? "the route's timeout" : "the caller's deadline";
        return bound + " of " + allowedMillis() + " ms was over before the " + (answerBegun ? "end of the " : "")
                + "answer";
    }

    private long allowedMillis() {
        return TimeUnit.NANOSECONDS.toMillis(
                request.info().deadlineNanos() - request.info().arrivedNanos());
    }

    /**
     * Writes that an attempt is sent.
     *
     * @param lastEventId id of the event after which the endpoint continues the stream
     */
    void attemptSent(
            EndpointEntry endpoint, long attempt, Optional<Long> lastEventId, PlacementFacts facts, boolean assigned) {
        boolean ownZone = endpoint.zone().equals(context.settings().self().zone());
        EndpointChoice choice = EndpointChoice.of(request, assigned);
        context.metrics().attemptSent(ownZone, choice);
        EventBuilder event = context.timeline()
                .event(EventKind.ATTEMPT_SENT)
                .request(request.info().id())
                .endpoint(endpoint.id())
                .with("softwareVersion", endpoint.softwareVersion())
                .with("attempt", attempt);
        lastEventId.ifPresent(id -> event.with("afterEvent", id));
        firstRequestId.ifPresent(id -> event.with("firstRequest", id));
        event.with("usable", facts.usable())
                .with("online", facts.online())
                .with("batch", facts.batch())
                .with("slots", facts.slots())
                .with("waitMillis", facts.waitMillis())
                .with("assigned", assigned)
                .with("zone", endpoint.zone().name())
                .with("ownZone", ownZone)
                .with("chosen", choice.label())
                .with("sinceArrivalMillis", sinceArrivalMillis())
                .with("directoryAgeMillis", traffic.directoryAgeMillis())
                .write();
    }

    void attemptFailed(String endpoint, long attempt, AttemptEnd end, String detail, AnswerProgress progress) {
        EventBuilder event = context.timeline()
                .event(EventKind.ATTEMPT_FAILED)
                .request(request.info().id())
                .endpoint(endpoint)
                .with("attempt", attempt)
                .with("end", end)
                .with("detail", detail);
        progress.addTo(event);
        request.info().prompt().ifPresent(prompt -> PromptLogFields.addTo(event, prompt));
        event.write();
    }

    /**
     * Writes the end of the request.
     *
     * @param event the event with what is specific to this end
     * @param answerBegun whether the caller has received a part of the answer
     */
    void ended(String end, EventBuilder event, boolean answerBegun) {
        if (!end.equals(RoutedCall.ANSWERED)) {
            // Log lines may be dropped under load, so the line of a failed request itself states what led to the
            // failure.
            event.with("attempts", request.pastAttempts())
                    .with("answerBegun", answerBegun)
                    .with("allowedMillis", allowedMillis())
                    .with("configuration", traffic.configurationVersion());
            addService(event, request.info().service());
        }
        request.info().caller().accountName().ifPresent(name -> event.with("account", name));
        event.request(request.info().id())
                .with("route", request.info().route().name())
                .with("sends", request.sends())
                .with("outcome", request.outcome().wireName())
                .with("millis", sinceArrivalMillis())
                .write();
    }

    private long sinceArrivalMillis() {
        return TimeUnit.NANOSECONDS.toMillis(context.nowNanos() - request.info().arrivedNanos());
    }

    private void addService(EventBuilder event, String service) {
        ServiceState state = traffic.serviceState(service);
        event.with("service", service)
                .with("endpoints", state.endpoints())
                .with("usable", state.usable())
                .with("slots", state.slots())
                .with("ownOnline", state.online())
                .with("ownBatch", state.batch())
                .with("directoryAgeMillis", traffic.directoryAgeMillis());
    }
}
