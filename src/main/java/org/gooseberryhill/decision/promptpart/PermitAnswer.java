package org.gooseberryhill.decision.promptpart;

import java.util.Optional;

/**
 * The answer to a request for a permit. Immutable.
 *
 * @param answered whether the host that grants permits has answered
 * @param permit the permit; empty if the request has to wait
 */
public record PermitAnswer(boolean answered, Optional<IsolationPermit> permit) {
    /** No host has answered in time. */
    public static final PermitAnswer UNANSWERED = new PermitAnswer(false, Optional.empty());

    /** Another request with the parts is running, or no endpoint is free of other suspects. */
    public static final PermitAnswer DENIED = new PermitAnswer(true, Optional.empty());

    /** Returns the answer with a permit. */
    public static PermitAnswer granted(IsolationPermit permit) {
        return new PermitAnswer(true, Optional.of(permit));
    }
}
