package org.gooseberryhill.decision.dispatch;

import java.util.Optional;
import org.gooseberryhill.contract.Refusal;
import org.gooseberryhill.directory.EndpointEntry;

/** What to do next about a routed request. Immutable. */
public sealed interface DispatchDecision {
    /**
     * Send it to an endpoint now.
     *
     * @param endpoint the endpoint
     * @param facts what it was chosen by
     */
    record Send(EndpointEntry endpoint, PlacementFacts facts) implements DispatchDecision {}

    /**
     * Ask again after a while: no endpoint can take it now, and its caller has a part of the answer, or it has left an
     * endpoint that was only silent.
     *
     * @param millis how long to wait
     */
    record Wait(long millis) implements DispatchDecision {}

    /**
     * Give the caller its final answer now.
     *
     * @param refusal the answer
     * @param overload present if the request was turned away because of load: what decided that
     */
    record Refuse(Refusal refusal, Optional<OverloadFacts> overload) implements DispatchDecision {
        Refuse(Refusal refusal) {
            this(refusal, Optional.empty());
        }
    }
}
