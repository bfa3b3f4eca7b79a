package org.gooseberryhill.standin;

import java.util.Optional;

/**
 * Faults of the engine stand-in. Immutable.
 *
 * @param crashPrompt a text whose appearance in a prompt crashes the engine once generation starts
 * @param restartMillis how long a crashed engine stays down; 0 means for ever
 * @param obeysFences whether an order with an old fencing number is refused
 * @param draining whether it says that it is leaving
 * @param endsEarly whether streams end after half of their tokens as if they were whole, but without the end mark
 */
public record EngineFaults(
        Optional<String> crashPrompt, long restartMillis, boolean obeysFences, boolean draining, boolean endsEarly) {
    /** No fault. */
    public static final EngineFaults NONE = new EngineFaults(Optional.empty(), 0, true, false, false);
}
