package org.gooseberryhill.peer;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.gooseberryhill.decision.promptpart.IsolationPermit;
import org.gooseberryhill.decision.promptpart.PromptPartKey;
import org.gooseberryhill.directory.EndpointKey;

/**
 * Messages between gateways on parts of prompts that may crash endpoints. Times are ages, since the hosts' clocks differ. The reply
 * is {@link PeerMessage.Ack} unless a message names another.
 */
public interface QuarantineMessage extends GatewayMessage {
    /**
     * Reports that an endpoint has crashed.
     *
     * @param endpoint the endpoint
     * @param ageMillis the time since the crash
     * @param runs the requests that the sender had in flight there
     */
    record EndpointCrashNotice(EndpointKey endpoint, long ageMillis, List<Run> runs) implements QuarantineMessage {}

    /**
     * A request that was in flight at a crash.
     *
     * @param parts the parts of its prompt that other requests may share
     * @param ranMillis the time from its sending to the crash
     */
    record Run(Set<PromptPartKey> parts, long ranMillis) {}

    /**
     * Reports that suspected or blocked parts were served.
     *
     * @param parts the parts
     */
    record ServedPartsNotice(List<Served> parts) implements QuarantineMessage {}

    /**
     * A part that was served.
     *
     * @param part the part
     * @param sentAgeMillis the time since the run that was answered was sent
     */
    record Served(PromptPartKey part, long sentAgeMillis) {}

    /**
     * Asks for a permit to run a request with suspected parts; the reply is {@link Permit}.
     *
     * @param parts the suspected parts
     * @param confined whether the endpoint may not be shared with other suspects
     * @param endpoints acceptable endpoints, best first
     */
    record PermitRequest(Set<PromptPartKey> parts, boolean confined, List<EndpointKey> endpoints)
            implements QuarantineMessage {}

    /**
     * Tells whether a request with suspected parts may run.
     *
     * @param granted whether it may run now
     * @param endpoint the only endpoint where it may run; empty if it may run at any
     */
    record Permit(boolean granted, Optional<EndpointKey> endpoint) implements QuarantineMessage {}

    /**
     * Returns a permit.
     *
     * @param permit the permit
     */
    record PermitReturned(IsolationPermit permit) implements QuarantineMessage {}
}
