package org.gooseberryhill.gateway;

/**
 * Determines when each host queries the store for the changes of a key prefix. Immutable.
 *
 * @param firstMaxAgeMillis age of the view at which the host of rank 0 queries the store
 * @param secondMaxAgeMillis age of the view at which the host of rank 1 queries the store
 * @param maxAgeStepMillis amount by which this age grows for each further rank
 * @param waitMillis maximum time that the store waits for a change before it answers
 * @param firstListingMayBeStale whether the first listing may be seconds old, at a tenth of the price: the changes since
 *     then follow within a second, from the store or from other hosts
 */
record ViewRefreshPolicy(
        long firstMaxAgeMillis,
        long secondMaxAgeMillis,
        long maxAgeStepMillis,
        long waitMillis,
        boolean firstListingMayBeStale) {
    /**
     * Registrations change constantly, since each heartbeat is a change: a query each half second collects the changes,
     * and all hosts learn within a second that an endpoint is leaving, even when the host of rank 0 is lost.
     */
    static final ViewRefreshPolicy REGISTRATIONS = new ViewRefreshPolicy(500, 900, 100, 1000, true);

    /** Operators write rarely, and their entries must be in force within two seconds: the query waits in the store. */
    static final ViewRefreshPolicy OPERATORS = new ViewRefreshPolicy(0, 1300, 100, 1000, false);

    /** Hosts join and leave rarely, and nothing depends on knowing it quickly. */
    static final ViewRefreshPolicy HOSTS = new ViewRefreshPolicy(0, 4000, 300, 3000, true);

    /**
     * Returns the age of the view at which the host with the given rank queries the store. The rank of a host is the
     * number of live gateways whose ids precede its own.
     */
    long maxAgeMillis(int rank) {
        return rank == 0 ? firstMaxAgeMillis : secondMaxAgeMillis + (rank - 1) * maxAgeStepMillis;
    }
}
