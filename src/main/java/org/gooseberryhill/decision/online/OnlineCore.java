package org.gooseberryhill.decision.online;

import io.vavr.control.Either;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.configuration.CallerSettings;
import org.gooseberryhill.configuration.Configuration;
import org.gooseberryhill.contract.ErrorCode;
import org.gooseberryhill.contract.Outcome;
import org.gooseberryhill.contract.Refusal;
import org.gooseberryhill.decision.admission.AdmissionCase;
import org.gooseberryhill.decision.quarantine.CrashSuspects;
import org.gooseberryhill.decision.quarantine.CrashSuspects.Verdict;
import org.gooseberryhill.decision.retry.AttemptFailure;
import org.gooseberryhill.decision.retry.RetryCase;
import org.gooseberryhill.decision.routing.EndpointState;
import org.gooseberryhill.decision.routing.EndpointTable;
import org.gooseberryhill.decision.routing.RouteRequest;
import org.gooseberryhill.decision.routing.ServicePool;
import org.gooseberryhill.zone.AvailabilityZone;

/**
 * Decides on the admission, routing and retries of the online requests of one entry host. Not thread-safe.
 *
 * <p>Invariants: each admitted request is finished exactly once; the call that gives up a request returns its
 * refusal at once; a request that must not be repeated is sent again only if no byte of it reached an endpoint.
 */
public final class OnlineCore {
    private static final long NO_ENDPOINT_RETRY_AFTER_MILLIS = 2000;
    private static final long SUSPECT_RETRY_AFTER_MILLIS = 1000;
    private static final long PERMIT_RETRY_MILLIS = 50;

    private final AvailabilityZone zone;
    private final OnlinePolicies policies;
    private final EndpointTable endpoints = new EndpointTable();
    private final CrashSuspects suspects;
    private final Map<String, Integer> inFlightByCaller = new HashMap<>();
    private Configuration configuration = Configuration.EMPTY;

    /** Creates a core without a configuration, which refuses every request until {@link #configure} is called. */
    public OnlineCore(AvailabilityZone zone, OnlinePolicies policies, CrashSuspects suspects) {
        this.zone = zone;
        this.policies = policies;
        this.suspects = suspects;
    }

    /** Applies a configuration. */
    public void configure(Configuration newConfiguration) {
        configuration = newConfiguration;
        endpoints.configure(newConfiguration);
    }

    /** Returns the endpoints, to apply load reports and to read the loads to report. */
    public EndpointTable endpoints() {
        return endpoints;
    }

    /** Returns the requests that were in flight at crashes. */
    public CrashSuspects suspects() {
        return suspects;
    }

    /** Admits or refuses a request. An admitted request must end with {@link #finished}. */
    public Either<Refusal, OnlineRequest> admit(OnlineRequestInfo requestInfo, long nowNanos) {
        Optional<Refusal> quarantined = refuseQuarantined(requestInfo, Outcome.NOT_RUN, nowNanos);
        if (quarantined.isPresent()) {
            return Either.left(quarantined.get());
        }
        OnlineRequest request = new OnlineRequest(requestInfo);
        Optional<EndpointState> best = chooseEndpoint(request, nowNanos);
        if (best.isEmpty()) {
            return Either.left(noEndpointRefusal(Outcome.NOT_RUN));
        }
        int inFlight = inFlightByCaller.getOrDefault(requestInfo.caller(), 0);
        AdmissionCase admission = new AdmissionCase(
                best.get().predictedWaitMillis(),
                request.remainingMillis(nowNanos),
                inFlight,
                callerLimit(requestInfo.caller()));
        Optional<Refusal> refusal = policies.admission().refuse(admission);
        if (refusal.isPresent()) {
            return Either.left(refusal.get());
        }
        inFlightByCaller.put(requestInfo.caller(), inFlight + 1);
        policies.retry().recordFirstAttempt();
        return Either.right(request);
    }

    /** Returns the next step for a request that has no attempt in progress. */
    public OnlineDecision next(OnlineRequest request, long nowNanos) {
        Optional<Refusal> quarantined = refuseQuarantined(request.info(), request.outcome(), nowNanos);
        if (quarantined.isPresent()) {
            return new OnlineDecision.Refuse(quarantined.get());
        }
        if (suspects.verdict(request.info().fingerprint(), nowNanos) == Verdict.SUSPECT) {
            return askPermit(request, nowNanos);
        }
        Optional<EndpointState> chosen = chooseEndpoint(request, nowNanos);
        if (chosen.isEmpty()) {
            return new OnlineDecision.Refuse(noEndpointRefusal(request.outcome()));
        }
        return send(request, chosen.get(), nowNanos);
    }

    /**
     * Returns the next step after the arbiter has answered {@link OnlineDecision.AskPermit}. Unless the request then
     * {@linkplain OnlineRequest#holdsPermit holds the permit}, a granted one must go back to the arbiter.
     *
     * @param endpoint the endpoint at which the suspect may run, or empty if it has to wait
     */
    public OnlineDecision onPermitAnswer(OnlineRequest request, Optional<String> endpoint, long nowNanos) {
        Optional<Refusal> quarantined = refuseQuarantined(request.info(), request.outcome(), nowNanos);
        if (quarantined.isPresent()) {
            // The second crash was reported while the permit was awaited.
            return new OnlineDecision.Refuse(quarantined.get());
        }
        Optional<EndpointState> granted = endpoint.flatMap(endpoints::find);
        if (granted.isPresent()) {
            request.setHoldsPermit(true);
            return send(request, granted.get(), nowNanos);
        }
        if (request.mayWaitForPermit(nowNanos)) {
            return new OnlineDecision.Wait(PERMIT_RETRY_MILLIS);
        }
        return new OnlineDecision.Refuse(new Refusal(
                ErrorCode.OVERLOADED,
                request.outcome(),
                "the request was cut by a crash and can't be run apart now",
                Optional.of(SUSPECT_RETRY_AFTER_MILLIS)));
    }

    /** Records a failed attempt and returns the next step: a retry at another endpoint or the final refusal. */
    public OnlineDecision attemptFailed(OnlineRequest request, AttemptFailure failure, long nowNanos) {
        boolean unreachable = failure.outcome() == Outcome.NOT_RUN;
        request.endpoint().ifPresent(name -> endpoints.recordFailure(name, unreachable, nowNanos));
        request.attemptFailed(failure.outcome());
        request.setHoldsPermit(false);
        RetryCase retryCase = new RetryCase(
                request.info().idempotent(),
                request.isAnswerStarted(),
                request.attempts(),
                request.remainingMillis(nowNanos));
        AttemptFailure overall = new AttemptFailure(request.outcome(), failure.crashSuspected(), failure.detail());
        Optional<Refusal> refusal = policies.retry().giveUp(retryCase, overall);
        if (refusal.isPresent()) {
            return new OnlineDecision.Refuse(refusal.get());
        }
        return next(request, nowNanos);
    }

    /** Records an attempt that returned the complete answer, and clears the request if it was a suspect. */
    public void attemptSucceeded(OnlineRequest request, long nowNanos) {
        request.endpoint().ifPresent(name -> endpoints.recordSuccess(name, request.attemptRunNanos(nowNanos)));
        request.attemptEnded();
        suspects.clear(request.info().fingerprint());
    }

    /** Records that the caller disconnected, or that its deadline passed, while an attempt was in progress. */
    public void attemptAbandoned(OnlineRequest request) {
        request.endpoint().ifPresent(endpoints::recordCancellation);
        request.attemptEnded();
    }

    /** Records that the caller got its final answer or disconnected. */
    public void finished(OnlineRequest request) {
        inFlightByCaller.computeIfPresent(
                request.info().caller(), (caller, inFlight) -> inFlight <= 1 ? null : inFlight - 1);
    }

    private OnlineDecision send(OnlineRequest request, EndpointState endpoint, long nowNanos) {
        endpoints.recordStart(endpoint.name());
        request.attemptStarted(endpoint.name(), nowNanos);
        return new OnlineDecision.Send(endpoint.settings());
    }

    /**
     * Asks for a permit at one of the endpoints that the request is sent to anyway: any other endpoint could be one more
     * that it crashes. The others follow only when none of these is left, so that a request that is innocent of the crash
     * still gets its answer.
     */
    private OnlineDecision askPermit(OnlineRequest request, long nowNanos) {
        Optional<ServicePool> pool = endpoints.pool(request.info().service());
        List<String> own = pool.map(found -> usable(found.candidates(routeRequest(request)), request, nowNanos))
                .orElse(List.of());
        List<String> candidates = own.isEmpty()
                ? pool.map(found -> usable(found.endpoints(), request, nowNanos))
                        .orElse(List.of())
                : own;
        if (candidates.isEmpty()) {
            return new OnlineDecision.Refuse(noEndpointRefusal(request.outcome()));
        }
        return new OnlineDecision.AskPermit(candidates);
    }

    /** Returns the names of the endpoints that may still get the request, least loaded first. */
    private static List<String> usable(Collection<EndpointState> candidates, OnlineRequest request, long nowNanos) {
        return candidates.stream()
                .filter(endpoint ->
                        endpoint.isEligible(nowNanos) && !request.tried().contains(endpoint.name()))
                .sorted(Comparator.comparingDouble(EndpointState::load))
                .map(EndpointState::name)
                .toList();
    }

    private Optional<EndpointState> chooseEndpoint(OnlineRequest request, long nowNanos) {
        return endpoints
                .pool(request.info().service())
                .flatMap(pool -> policies.route().choose(pool, routeRequest(request), nowNanos));
    }

    private RouteRequest routeRequest(OnlineRequest request) {
        return new RouteRequest(
                zone, request.info().prefixHash(), request.info().fingerprint().hash(), request.tried());
    }

    private Optional<Refusal> refuseQuarantined(OnlineRequestInfo requestInfo, Outcome outcome, long nowNanos) {
        if (suspects.verdict(requestInfo.fingerprint(), nowNanos) != Verdict.QUARANTINED) {
            return Optional.empty();
        }
        long millis = suspects.remainingMillis(requestInfo.fingerprint(), nowNanos);
        return Optional.of(new Refusal(
                ErrorCode.QUARANTINED,
                outcome,
                "the same request crashed endpoints twice; it is held apart",
                Optional.of(Math.max(TimeUnit.SECONDS.toMillis(1), millis))));
    }

    private int callerLimit(String caller) {
        CallerSettings settings = configuration.callers().get(caller);
        return settings == null ? Integer.MAX_VALUE : settings.maxInFlight();
    }

    private static Refusal noEndpointRefusal(Outcome outcome) {
        return new Refusal(
                ErrorCode.NO_ENDPOINT,
                outcome,
                "no endpoint of the service can be reached",
                Optional.of(NO_ENDPOINT_RETRY_AFTER_MILLIS));
    }
}
