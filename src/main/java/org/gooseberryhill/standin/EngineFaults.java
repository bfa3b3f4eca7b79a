package org.gooseberryhill.standin;

import java.util.Optional;

/**
 * Faults that an engine stand-in simulates. Immutable.
 *
 * @param crashPrompt a text that crashes the engine when it processes a request whose prompt contains the text
 * @param restartMillis how long a crashed engine stays down; 0 means that it does not restart
 * @param obeysFences whether an order with an outdated fencing token is refused
 * @param draining whether the engine reports that it is draining
 * @param endsEarly whether streams close cleanly after half of their tokens, without the {@code [DONE]} event
 */
public record EngineFaults(
        Optional<String> crashPrompt, long restartMillis, boolean obeysFences, boolean draining, boolean endsEarly) {
    /** No faults. */
    public static final EngineFaults NONE = new EngineFaults(Optional.empty(), 0, true, false, false);
}
