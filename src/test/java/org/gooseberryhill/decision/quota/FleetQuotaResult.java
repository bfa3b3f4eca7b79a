package org.gooseberryhill.decision.quota;

/** What came of the requests of a time in a {@link FleetQuotaReplay}. Not thread-safe. */
final class FleetQuotaResult {
    private long ideal;
    private long rejectedBelow;
    private long unknownBelow;
    private double worstExcess = Double.NEGATIVE_INFINITY;
    private String worstAccount = "";

    void count(boolean withinQuota, FleetQuotaReplay.Admitted admitted) {
        if (withinQuota) {
            ideal++;
            rejectedBelow += admitted == FleetQuotaReplay.Admitted.NO ? 1 : 0;
            unknownBelow += admitted == FleetQuotaReplay.Admitted.UNKNOWN ? 1 : 0;
        }
    }

    /** Returns the share of the requests within their quota that did not run, of accounts that ask for their usual. */
    double refusedShare() {
        return (double) (rejectedBelow + unknownBelow) / ideal;
    }

    /** Returns by how many requests the bound was exceeded at worst; negative if it held. */
    double worstExcess() {
        return worstExcess;
    }

    @Override
    public String toString() {
        return String.format(
                "worst excess %.1f of %s, rejected %.4f, unknown %.4f",
                worstExcess, worstAccount, (double) rejectedBelow / ideal, (double) unknownBelow / ideal);
    }

    /** Records by how many requests an account is above what its quota allows in a window, or below. */
    void recordExcess(String account, double excess) {
        if (excess > worstExcess) {
            worstExcess = excess;
            worstAccount = account;
        }
    }

    /** Adds what came of the requests of a later time. */
    void add(FleetQuotaResult later) {
        ideal += later.ideal;
        rejectedBelow += later.rejectedBelow;
        unknownBelow += later.unknownBelow;
        recordExcess(later.worstAccount, later.worstExcess);
    }
}
