package org.gooseberryhill.decision.dispatch;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.gooseberryhill.contract.ErrorCode;
import org.gooseberryhill.contract.Outcome;
import org.gooseberryhill.contract.Refusal;
import org.gooseberryhill.decision.quarantine.CrashSuspects;
import org.gooseberryhill.decision.quarantine.CrashSuspects.Verdict;
import org.gooseberryhill.directory.EndpointEntry;
import org.gooseberryhill.directory.EndpointKey;
import org.gooseberryhill.route.Route;
import org.gooseberryhill.zone.AvailabilityZone;

/**
 * Decides where and how often the routed requests of one host are sent, and when they are refused. Not thread-safe.
 *
 * <p>Invariants: each accepted request is finished exactly once; the call that gives a request up also returns its
 * refusal, never a later call; a request that may not be repeated is sent again only while it has certainly not run;
 * the number of endpoints that may have run a request does not exceed the limit of its route.
 */
public final class DispatchCore {
    /** Retry-after when no endpoint is usable: registrations return within about two seconds. */
    private static final long NO_ENDPOINT_RETRY_AFTER_MILLIS = 1000;

    /**
     * Maximum sends of one request, including those that endpoints refuse.
     *
     * <p>Each send costs a round trip, and when the service is full, all its endpoints refuse.
     */
    private static final int MAX_SENDS = 6;

    /**
     * Maximum sends of a request whose caller has received a part of the answer.
     *
     * <p>Batch items free a slot within some tens of milliseconds. Completing an answer is worth more sends than a new
     * request, whose caller can retry.
     */
    private static final int MAX_SENDS_AFTER_ANSWER_START = 20;

    /**
     * Delay before another choice of endpoint for a request that waits: about the time that a batch item takes to
     * yield.
     */
    private static final long FULL_SERVICE_WAIT_MILLIS = 50;

    /** Shortest time in which an endpoint can answer: a round trip and the shortest run. */
    private static final long MIN_REMAINING_MILLIS = 20;

    /** Retry-after of a full service: about the time until the next slot of an endpoint is free. */
    private static final long BUSY_RETRY_AFTER_MILLIS = 200;

    private final AvailabilityZone zone;
    private final DispatchPolicies policies;
    private final Fleet fleet;
    private final CrashSuspects suspects;
    private final Map<String, ServiceRunTime> runTimes = new HashMap<>();
    private final PromptPrefixTracker prefixes = new PromptPrefixTracker();

    /** Creates a core for the endpoints that its host knows. */
    public DispatchCore(AvailabilityZone zone, DispatchPolicies policies, Fleet fleet, CrashSuspects suspects) {
        this.zone = zone;
        this.policies = policies;
        this.fleet = fleet;
        this.suspects = suspects;
    }

    /**
     * Creates a request that has arrived. It must end with a {@link DispatchDecision.Refuse}, {@link #attemptSucceeded}
     * or {@link #abandoned}.
     */
    public RoutedRequest newRequest(RoutedRequestInfo requestInfo) {
        return new RoutedRequest(requestInfo);
    }

    /** Decides the first action for a request that has arrived. */
    public DispatchDecision dispatch(RoutedRequest request, long nowNanos) {
        Optional<Refusal> quarantined = refuseQuarantined(request, nowNanos);
        if (quarantined.isPresent()) {
            return new DispatchDecision.Refuse(quarantined.get());
        }
        if (request.remainingMillis(nowNanos) < MIN_REMAINING_MILLIS) {
            return new DispatchDecision.Refuse(refusal(
                    request, ErrorCode.DEADLINE_EXCEEDED, "the request's time was over before it could be sent"));
        }
        Optional<FleetEndpoint> best = choose(request, nowNanos);
        if (best.isEmpty()) {
            return new DispatchDecision.Refuse(noEndpoint());
        }
        OverloadCase overload = overloadCase(request, best.get(), nowNanos);
        double longestWaitMillis = policies.overload().longestWaitMillis(overload);
        if (overload.waitMillis() > longestWaitMillis) {
            Refusal refusal = Refusal.notRun(
                    ErrorCode.OVERLOADED,
                    "no slot is likely to be free in time",
                    policies.retryAfter().retryAfterMillis(overload));
            return new DispatchDecision.Refuse(refusal, Optional.of(OverloadFacts.of(overload, longestWaitMillis)));
        }
        return send(request, best.get(), nowNanos);
    }

    /** Decides what follows an attempt that ended without the whole answer: another endpoint, a wait or a refusal. */
    public DispatchDecision attemptFailed(RoutedRequest request, AttemptEnd end, long nowNanos) {
        attemptEnded(request, end, nowNanos);
        Optional<Refusal> refusal = refuseFurtherAttempt(request, request.progress(), end, nowNanos);
        if (refusal.isPresent()) {
            return new DispatchDecision.Refuse(refusal.get());
        }
        return sendToAnother(request, nowNanos);
    }

    /**
     * Returns whether a request whose endpoint is silent can continue at another endpoint: {@link #attemptFailed} with
     * {@link AttemptEnd#SILENT} would send it at this moment. False while no endpoint has the request.
     */
    public boolean canFailOver(RoutedRequest request, long nowNanos) {
        if (request.endpoint().isEmpty()) {
            return false;
        }
        RequestProgress afterSilence = request.progress().after(AttemptEnd.SILENT);
        return refuseFurtherAttempt(request, afterSilence, AttemptEnd.SILENT, nowNanos)
                        .isEmpty()
                && chooseUntried(request, nowNanos).isPresent();
    }

    /** Decides the next action after the delay of a {@link DispatchDecision.Wait} has passed. */
    public DispatchDecision dispatchAfterWait(RoutedRequest request, long nowNanos) {
        if (request.remainingMillis(nowNanos) < MIN_REMAINING_MILLIS) {
            return new DispatchDecision.Refuse(
                    refusal(request, ErrorCode.DEADLINE_EXCEEDED, "no time is left for the rest of the answer"));
        }
        return sendToAnother(request, nowNanos);
    }

    private DispatchDecision sendToAnother(RoutedRequest request, long nowNanos) {
        Optional<FleetEndpoint> endpoint = choose(request, nowNanos);
        if (endpoint.isPresent()) {
            return send(request, endpoint.get(), nowNanos);
        }
        return request.mayWaitForEndpoint()
                ? new DispatchDecision.Wait(FULL_SERVICE_WAIT_MILLIS)
                : new DispatchDecision.Refuse(noOtherEndpoint(request));
    }

    /** Records that an attempt returned the whole answer. */
    public void attemptSucceeded(RoutedRequest request, long nowNanos) {
        runTime(request).add(request.attemptNanos(nowNanos));
        attemptEnded(request, AttemptEnd.ANSWERED, nowNanos);
        if (suspects.size() > 0) {
            suspects.clear(request.info().fingerprint());
        }
    }

    /** Ends a request whose caller disconnected or whose deadline passed. */
    public void abandoned(RoutedRequest request, long nowNanos) {
        attemptEnded(request, AttemptEnd.ABANDONED, nowNanos);
    }

    private void attemptEnded(RoutedRequest request, AttemptEnd end, long nowNanos) {
        request.endpoint().ifPresent(key -> {
            fleet.onlineEnded(key);
            fleet.attemptEnded(key, end, nowNanos);
            request.attemptEnded(end, nowNanos);
        });
    }

    /**
     * Returns the refusal if the request may not be sent again after an attempt with the given end; empty if it may.
     *
     * @param progress the progress of the request, including that attempt
     */
    private Optional<Refusal> refuseFurtherAttempt(
            RoutedRequest request, RequestProgress progress, AttemptEnd end, long nowNanos) {
        Route route = request.info().route();
        if (progress.outcome() == Outcome.MAY_HAVE_RUN && !route.isRepeatable()) {
            return Optional.of(Refusal.mayHaveRun(
                    ErrorCode.ENDPOINT_FAILED, "the endpoint failed after the request was sent; it is not repeated"));
        }
        if (progress.answerStarted() && !route.resumable()) {
            return Optional.of(Refusal.mayHaveRun(ErrorCode.ENDPOINT_FAILED, "the answer was cut"));
        }
        if (request.remainingMillis(nowNanos) < MIN_REMAINING_MILLIS) {
            return Optional.of(refusal(request, ErrorCode.DEADLINE_EXCEEDED, "no time is left for another attempt"));
        }
        if (progress.possibleRuns() >= route.maxAttempts()) {
            return Optional.of(refusal(request, ErrorCode.ENDPOINT_FAILED, "all attempts failed, the last: " + end));
        }
        if (progress.sends() >= (progress.answerStarted() ? MAX_SENDS_AFTER_ANSWER_START : MAX_SENDS)) {
            return Optional.of(refusal(request, ErrorCode.OVERLOADED, "the endpoints are full"));
        }
        return refuseQuarantined(request, nowNanos);
    }

    private OverloadCase overloadCase(RoutedRequest request, FleetEndpoint best, long nowNanos) {
        double meanRunMillis = runTime(request).meanRunMillis();
        int slots = 0;
        for (FleetEndpoint endpoint : fleet.usableEndpoints(request.info().service(), nowNanos)) {
            slots += endpoint.entry().slots();
        }
        return new OverloadCase(
                request.info().service(),
                WaitForecast.waitMillis(best, meanRunMillis),
                request.info().route().targetLatencyMillis(),
                request.remainingMillis(nowNanos),
                slots,
                meanRunMillis,
                fleet.hostCount(),
                nowNanos);
    }

    private DispatchDecision send(RoutedRequest request, FleetEndpoint endpoint, long nowNanos) {
        EndpointEntry entry = endpoint.entry();
        PlacementFacts facts = placementFacts(request, endpoint, nowNanos);
        fleet.onlineStarted(entry.key());
        request.attemptStarted(entry.key(), nowNanos);
        request.info().prompt().ifPresent(prompt -> prefixes.requestSent(entry.key(), prompt));
        return new DispatchDecision.Send(entry, facts);
    }

    private PlacementFacts placementFacts(RoutedRequest request, FleetEndpoint endpoint, long nowNanos) {
        int usable = fleet.usableEndpoints(request.info().service(), nowNanos).size();
        double waitMillis = WaitForecast.waitMillis(endpoint, runTime(request).meanRunMillis());
        return new PlacementFacts(
                usable, endpoint.online(), endpoint.batch(), endpoint.entry().slots(), Math.round(waitMillis));
    }

    private Optional<FleetEndpoint> choose(RoutedRequest request, long nowNanos) {
        return choose(request, request.tried(), nowNanos);
    }

    /** Chooses an endpoint that neither has the request now nor was tried before. */
    private Optional<FleetEndpoint> chooseUntried(RoutedRequest request, long nowNanos) {
        Set<EndpointKey> excluded = new HashSet<>(request.tried());
        request.endpoint().ifPresent(excluded::add);
        return choose(request, excluded, nowNanos);
    }

    private Optional<FleetEndpoint> choose(RoutedRequest request, Set<EndpointKey> excluded, long nowNanos) {
        List<FleetEndpoint> endpoints = fleet.endpointsOf(request.info().service());
        PlacementCase placement = new PlacementCase(
                zone,
                request.info().prompt(),
                prefixes,
                excluded,
                runTime(request).meanRunMillis(),
                nowNanos);
        return policies.placement().choose(endpoints, placement);
    }

    private ServiceRunTime runTime(RoutedRequest request) {
        return runTimes.computeIfAbsent(request.info().service(), service -> new ServiceRunTime());
    }

    private Optional<Refusal> refuseQuarantined(RoutedRequest request, long nowNanos) {
        if (suspects.size() == 0 || suspects.verdict(request.info().fingerprint(), nowNanos) != Verdict.QUARANTINED) {
            return Optional.empty();
        }
        long millis = suspects.remainingMillis(request.info().fingerprint(), nowNanos);
        return Optional.of(new Refusal(
                ErrorCode.QUARANTINED,
                request.outcome(),
                "the same request crashed endpoints; it is held apart",
                Optional.of(millis)));
    }

    private static Refusal noEndpoint() {
        return Refusal.notRun(
                ErrorCode.NO_ENDPOINT, "no endpoint of the service can be used", NO_ENDPOINT_RETRY_AFTER_MILLIS);
    }

    private static Refusal noOtherEndpoint(RoutedRequest request) {
        return refusal(request, ErrorCode.OVERLOADED, "no other endpoint of the service can be used");
    }

    private static Refusal refusal(RoutedRequest request, ErrorCode code, String message) {
        return new Refusal(code, request.outcome(), message, Optional.of(BUSY_RETRY_AFTER_MILLIS));
    }
}
