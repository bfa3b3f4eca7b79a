package org.gooseberryhill.decision.promptpart;

/**
 * A change of what is refused because of prompt parts. Immutable.
 *
 * @param kind what has happened
 * @param block the block after the change, or before it was lifted
 */
public record BlockChange(Kind kind, PartBlock block) {
    /** Kinds of changes. */
    public enum Kind {
        /** Requests with the parts are refused from now on. */
        BLOCKED,
        /** A request was let through and crashed its endpoint. */
        TRIAL_CRASHED,
        /** A request with one of the parts was served. */
        LIFTED
    }
}
