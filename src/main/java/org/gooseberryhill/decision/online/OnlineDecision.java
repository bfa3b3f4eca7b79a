package org.gooseberryhill.decision.online;

import java.util.List;
import org.gooseberryhill.configuration.EndpointSettings;
import org.gooseberryhill.contract.Refusal;

/** The next step for an online request. Immutable. */
public sealed interface OnlineDecision {
    /**
     * Send the request to an endpoint now.
     *
     * @param endpoint the endpoint
     */
    record Send(EndpointSettings endpoint) implements OnlineDecision {}

    /**
     * Ask the service's arbiter where the request, a crash suspect, may run, then call {@link OnlineCore#onPermitAnswer}.
     *
     * @param endpoints the names of the candidate endpoints, least loaded first
     */
    record AskPermit(List<String> endpoints) implements OnlineDecision {}

    /**
     * Call {@link OnlineCore#next} after a delay: the request is a crash suspect and got no permit yet.
     *
     * @param delayMillis the delay, in milliseconds
     */
    record Wait(long delayMillis) implements OnlineDecision {}

    /**
     * Return the final refusal to the caller now.
     *
     * @param refusal the refusal
     */
    record Refuse(Refusal refusal) implements OnlineDecision {}
}
