package org.gooseberryhill.decision.dispatch;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.gooseberryhill.contract.Refusal;
import org.gooseberryhill.decision.promptpart.PromptPartKey;
import org.gooseberryhill.directory.EndpointEntry;
import org.gooseberryhill.directory.EndpointGroup;
import org.gooseberryhill.directory.EndpointKey;

/** The next action for a routed request. Immutable. */
public sealed interface DispatchDecision {
    /**
     * Sends the request to an endpoint now.
     *
     * @param endpoint the endpoint
     * @param facts the figures by which it was chosen
     * @param assigned whether a coordinator has assigned the slot, and counts the request already
     */
    record Send(EndpointEntry endpoint, PlacementFacts facts, boolean assigned) implements DispatchDecision {}

    /**
     * Asks the coordinator of a group of endpoints where to send the request, then calls {@link
     * DispatchCore#placementAnswered}, or {@link DispatchCore#placeWithoutAnswer} if there is no answer in time.
     *
     * @param group the group
     * @param query what the choice depends on
     */
    record AskGroup(EndpointGroup group, PlacementQuery query) implements DispatchDecision {}

    /**
     * Asks whether the quota of the request's client account allows it to run, since no coordinator has placed it, then calls
     * {@link DispatchCore#admissionAnswered}.
     *
     * @param account name of the account
     */
    record AskAdmission(String account) implements DispatchDecision {}

    /**
     * Asks for a permit to run the request, parts of whose prompt may crash endpoints, then calls {@link
     * DispatchCore#permitAnswered}.
     *
     * @param parts the suspected parts
     * @param confined whether the endpoint may not be shared with other suspects
     * @param endpoints the endpoints that the request may go to, best first
     */
    record AskPermit(Set<PromptPartKey> parts, boolean confined, List<EndpointKey> endpoints)
            implements DispatchDecision {}

    /**
     * Asks for another decision after a delay: no endpoint can take the request now, but its caller has received a part
     * of the answer, or the request was moved away from an endpoint that was merely silent.
     *
     * @param millis the delay
     */
    record Wait(long millis) implements DispatchDecision {}

    /**
     * Gives the caller its final answer now.
     *
     * @param refusal the answer
     * @param overload the figures behind the refusal; present if it was refused because of load
     */
    record Refuse(Refusal refusal, Optional<OverloadFacts> overload) implements DispatchDecision {
        Refuse(Refusal refusal) {
            this(refusal, Optional.empty());
        }
    }
}
