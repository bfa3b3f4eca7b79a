package org.gooseberryhill.decision.dispatch;

import java.util.Map;
import org.gooseberryhill.directory.EndpointKey;

/** Baseline that takes all endpoints of a service to be equally fast. Stateless. */
public final class UniformEndpointSpeeds implements EndpointSpeeds {
    @Override
    public void attemptAnswered(String service, EndpointKey endpoint, AttemptTiming timing, long nowNanos) {
        // Nothing is learned.
    }

    @Override
    public RelativeDurations of(String service, long nowNanos) {
        return RelativeDurations.UNIFORM;
    }

    @Override
    public Map<EndpointKey, Double> observed(long nowNanos) {
        return Map.of();
    }
}
