package org.gooseberryhill.decision.online;

import java.util.List;
import org.gooseberryhill.configuration.EndpointSettings;
import org.gooseberryhill.contract.Refusal;

/** What to do next about an online request. Immutable. */
public sealed interface OnlineDecision {
    /**
     * Send it to an endpoint now.
     *
     * @param endpoint the endpoint
     */
    record Send(EndpointSettings endpoint) implements OnlineDecision {}

    /**
     * It is a suspect: ask the service's arbiter where it may run, then call {@link OnlineCore#permitted}.
     *
     * @param endpoints endpoints that would do, best first
     */
    record AskPermit(List<String> endpoints) implements OnlineDecision {}

    /**
     * It is a suspect and others run apart just now: call {@link OnlineCore#next} after a while.
     *
     * @param delayMillis how long to wait, in milliseconds
     */
    record Wait(long delayMillis) implements OnlineDecision {}

    /**
     * Give the caller its final answer now.
     *
     * @param refusal the answer
     */
    record Refuse(Refusal refusal) implements OnlineDecision {}
}
