package org.gooseberryhill.decision.share;

import java.util.Optional;

/**
 * How much of the longest allowed wait a request may use. Immutable.
 *
 * @param waitShare share of the longest allowed wait, 0 to 1; 0 lets a request only use a free slot
 * @param preferred whether the request is within its share while other accounts are above theirs, which leave a few slots free
 *     for it in all groups
 * @param excess present if the request is refused whether a slot is free or not, since its account is above its share
 */
public record WaitAllowance(double waitShare, boolean preferred, Optional<Excess> excess) {
    /** Allowance of a request while no account is above its share. */
    public static final WaitAllowance WHOLE = new WaitAllowance(1, false, Optional.empty());

    /** Allowance of a request within the share of its account while others are above theirs. */
    static final WaitAllowance PREFERRED = new WaitAllowance(1, true, Optional.empty());

    /** Allowance of a request above the share of its account while there are enough free slots. */
    static final WaitAllowance FREE_SLOT = new WaitAllowance(0, false, Optional.empty());

    static WaitAllowance refuse(Excess excess) {
        return new WaitAllowance(0, false, Optional.of(excess));
    }

    /**
     * Returns how many free slots another group must have for the request to be sent there, as a multiple of the square root of its
     * requests, by which their number fluctuates.
     */
    public double roomFluctuations() {
        if (preferred) {
            return 0;
        }
        return excess.isPresent() ? WeightedShares.KEPT_FLUCTUATIONS : 1;
    }

    /** Returns whether the request is within the share of its account. */
    public boolean isWithinShare() {
        return waitShare > 0;
    }

    /**
     * Why and until when a request is refused.
     *
     * @param retryAfterMillis time after which a retry is likely to be served
     * @param facts the deciding figures
     */
    public record Excess(long retryAfterMillis, ShareFacts facts) {}
}
