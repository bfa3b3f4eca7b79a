package org.gooseberryhill.decision.dispatch;

import java.util.Optional;
import java.util.Set;
import org.gooseberryhill.contract.Prompt;
import org.gooseberryhill.directory.EndpointKey;
import org.gooseberryhill.zone.AvailabilityZone;

/**
 * Input for the placement of a request. Immutable.
 *
 * @param zone the availability zone where the host runs
 * @param prompt the prompt; present for a token generation request
 * @param prefixes the prompt prefixes that the endpoints have processed
 * @param connected the endpoints to which the host that will send the request keeps an idle connection
 * @param excluded the endpoints to leave out, since they have or had the request
 * @param meanRunMillis the mean time that a request of the service holds its slot
 * @param nowNanos the current time
 * @param relativeDurations how long requests run at each endpoint, relative to that mean
 */
public record PlacementCase(
        AvailabilityZone zone,
        Optional<Prompt> prompt,
        PromptPrefixTracker prefixes,
        Set<EndpointKey> connected,
        Set<EndpointKey> excluded,
        double meanRunMillis,
        long nowNanos,
        RelativeDurations relativeDurations) {
    /** Returns whether the host that will send the request keeps an idle connection to an endpoint. */
    boolean isConnected(FleetEndpoint endpoint) {
        return connected.contains(endpoint.key());
    }

    /** Returns the expected duration of requests at an endpoint relative to the mean of the service. */
    double relativeDuration(FleetEndpoint endpoint) {
        return relativeDurations.at(endpoint.key());
    }

    /** Returns how many tokens of the prompt an endpoint would have to process; 0 without a prompt. */
    int prefillTokens(FleetEndpoint endpoint) {
        return prompt.map(generationPrompt -> prefixes.prefillTokens(endpoint.key(), generationPrompt))
                .orElse(0);
    }
}
