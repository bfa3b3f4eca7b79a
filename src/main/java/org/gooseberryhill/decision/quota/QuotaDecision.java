package org.gooseberryhill.decision.quota;

/** Whether a request of a client account may run. Immutable. */
public sealed interface QuotaDecision {
    /** The request may run, and is counted. */
    record Admitted() implements QuotaDecision {}

    /**
     * The quota is used up.
     *
     * @param retryAfterMillis after which the request may come back
     */
    record Rejected(long retryAfterMillis) implements QuotaDecision {}

    /** This host can't tell: it may be cut off from hosts that use the quota. Another host may be able to. */
    record Unknown() implements QuotaDecision {}
}
