package org.gooseberryhill.decision.dispatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.gooseberryhill.contract.Prompt;
import org.gooseberryhill.decision.share.WaitAllowance;
import org.gooseberryhill.directory.EndpointKey;

/**
 * Chooses endpoints for requests, and decides which requests are refused because of load, from the counts in a fleet. Not
 * thread-safe.
 */
public final class RequestPlacer {
    private final DispatchPolicies policies;
    private final EndpointSpeeds speeds;
    private final Map<String, ServiceRunTime> runTimes = new HashMap<>();
    private final PromptPrefixTracker prefixes = new PromptPrefixTracker();

    /** Creates a placer that knows no run times and no prompts yet, and takes all endpoints to be equally fast. */
    public RequestPlacer(DispatchPolicies policies) {
        this(policies, new UniformEndpointSpeeds());
    }

    /** Creates a placer that knows no run times and no prompts yet. */
    public RequestPlacer(DispatchPolicies policies, EndpointSpeeds speeds) {
        this.policies = policies;
        this.speeds = speeds;
    }

    /** Returns the endpoint for a request; empty if none is usable. */
    public Optional<FleetEndpoint> choose(List<FleetEndpoint> endpoints, PlacementQuery query, long nowNanos) {
        PlacementCase placement = new PlacementCase(
                query.zone(),
                query.prompt(),
                prefixes,
                query.connected(),
                query.excluded(),
                meanRunMillis(query.service()),
                nowNanos,
                speeds.of(query.service(), nowNanos));
        return policies.placement().choose(endpoints, placement);
    }

    /**
     * Returns the refusal of a request that would have to wait for too long at the endpoint that was chosen for it.
     *
     * @param usable the usable endpoints that the choice was made from
     * @param hostCount number of hosts that share these endpoints without knowing of each other's refusals
     */
    public Optional<PlacementAnswer.Overloaded> refuseOverloaded(
            FleetEndpoint chosen, List<FleetEndpoint> usable, int hostCount, PlacementQuery query, long nowNanos) {
        return refuseOverloaded(chosen, usable, hostCount, query, WaitAllowance.WHOLE, nowNanos);
    }

    /**
     * Returns the refusal of a request that would have to wait for too long at the endpoint that was chosen for it, or that its
     * account's share does not allow.
     *
     * @param usable the usable endpoints that the choice was made from
     * @param hostCount number of hosts that share these endpoints without knowing of each other's refusals
     * @param allowance how much of the longest wait the request may use
     */
    public Optional<PlacementAnswer.Overloaded> refuseOverloaded(
            FleetEndpoint chosen,
            List<FleetEndpoint> usable,
            int hostCount,
            PlacementQuery query,
            WaitAllowance allowance,
            long nowNanos) {
        double meanRunMillis = meanRunMillis(query.service());
        OverloadCase overload = new OverloadCase(
                query.service(),
                WaitForecast.waitMillis(chosen, meanRunMillis * relativeDuration(chosen, nowNanos)),
                query.targetLatencyMillis(),
                query.remainingMillis(),
                usable.stream().mapToInt(endpoint -> endpoint.entry().slots()).sum(),
                meanRunMillis,
                hostCount,
                nowNanos);
        double anyWaitMillis = policies.overload().longestWaitMillis(overload);
        double longestWaitMillis = allowance.preferred()
                ? policies.overload().longestTransientWaitMillis(overload)
                : allowance.waitShare() * anyWaitMillis;
        if (allowance.excess().isPresent()) {
            WaitAllowance.Excess excess = allowance.excess().get();
            OverloadFacts facts = OverloadFacts.of(overload, longestWaitMillis);
            return Optional.of(new PlacementAnswer.Overloaded(excess.retryAfterMillis(), facts.with(excess.facts())));
        }
        if (overload.waitMillis() <= longestWaitMillis) {
            return Optional.empty();
        }
        return Optional.of(new PlacementAnswer.Overloaded(
                policies.retryAfter().retryAfterMillis(overload), OverloadFacts.of(overload, longestWaitMillis)));
    }

    /** Returns the figures by which an endpoint was chosen. */
    public PlacementFacts facts(FleetEndpoint chosen, int usableCount, long nowNanos) {
        double meanRunMillis = meanRunMillis(chosen.entry().service()) * relativeDuration(chosen, nowNanos);
        return new PlacementFacts(
                usableCount,
                chosen.online(),
                chosen.batch(),
                chosen.entry().slots(),
                Math.round(WaitForecast.waitMillis(chosen, meanRunMillis)));
    }

    /** Records that a request with a prompt goes to an endpoint. */
    public void requestPlaced(EndpointKey endpoint, Prompt prompt) {
        prefixes.requestSent(endpoint, prompt);
    }

    /** Records how long a request that was answered completely held its slot. */
    public void requestAnswered(String service, EndpointKey endpoint, AttemptTiming timing, long nowNanos) {
        runTimes.computeIfAbsent(service, key -> new ServiceRunTime()).add(timing.nanos());
        speeds.attemptAnswered(service, endpoint, timing, nowNanos);
    }

    /** Returns the expected duration of requests at the endpoints of a service, for use at the given time only. */
    public RelativeDurations relativeDurations(String service, long nowNanos) {
        return speeds.of(service, nowNanos);
    }

    private double relativeDuration(FleetEndpoint endpoint, long nowNanos) {
        return speeds.of(endpoint.entry().service(), nowNanos).at(endpoint.key());
    }

    private double meanRunMillis(String service) {
        return runTimes.computeIfAbsent(service, key -> new ServiceRunTime()).meanRunMillis();
    }
}
