package org.gooseberryhill.gateway;

/**
 * Determines when each host queries the store for the changes of a key prefix. Immutable.
 *
 * @param firstPatienceMillis age of the view at which the first host in turn queries the store
 * @param otherPatienceMillis age of the view at which the second host queries the store
 * @param stepMillis amount by which this age grows for each further host
 * @param waitMillis maximum time that the store waits for a change before it answers
 */
record ViewPace(long firstPatienceMillis, long otherPatienceMillis, long stepMillis, long waitMillis) {
    /**
     * Registrations change constantly, since each heartbeat is a change: a query each half second collects the changes, and
     * an endpoint that leaves is known within a second, even when the first host in turn is lost.
     */
    static final ViewPace REGISTRATIONS = new ViewPace(500, 900, 100, 1000);

    /** Operators write rarely, and their entries must be in force within two seconds: the query waits in the store. */
    static final ViewPace OPERATORS = new ViewPace(0, 1300, 100, 1000);

    /** Hosts join and leave rarely, and nothing depends on knowing it quickly. */
    static final ViewPace HOSTS = new ViewPace(0, 4000, 300, 3000);

    /** Returns the age of the view at which the host with a rank among the live ones queries the store. */
    long patienceMillis(int rank) {
        return rank == 0 ? firstPatienceMillis : otherPatienceMillis + (rank - 1) * stepMillis;
    }
}
