package org.gooseberryhill.decision.promptpart;

import java.util.List;
import java.util.Set;

/**
 * The blocked parts of prompts, as kept in the key-value store for hosts that start or were cut off. Immutable.
 *
 * @param blocks the blocks
 */
public record QuarantineRecord(List<Block> blocks) {
    /** A record without blocks. */
    public static final QuarantineRecord EMPTY = new QuarantineRecord(List.of());

    /**
     * A block with times of day. Immutable.
     *
     * @param parts the parts that are blocked together
     * @param crashes the crashes that decided
     * @param lastCrashMillis the latest crash, in epoch milliseconds
     * @param beganUnserved whether nobody was known to have served the parts when they were blocked
     * @param trials the number of trials that crashed their endpoints
     */
    public record Block(
            Set<PromptPartKey> parts, List<Crash> crashes, long lastCrashMillis, boolean beganUnserved, int trials) {}

    /**
     * A crash that decided on a block. Immutable.
     *
     * @param endpoint the endpoint's id
     * @param reporter the host that reported it first
     * @param atMillis when it happened, in epoch milliseconds
     */
    public record Crash(String endpoint, String reporter, long atMillis) {}
}
