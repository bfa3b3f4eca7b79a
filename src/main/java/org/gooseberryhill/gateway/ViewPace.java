package org.gooseberryhill.gateway;

/**
 * How often the store is asked for the changes of a prefix. Immutable.
 *
 * @param firstPatienceMillis how old the view may become before the first host in turn asks
 * @param otherPatienceMillis the same for the second host
 * @param stepMillis how much more patience each further host has
 * @param waitMillis how long the store may wait for a change before it answers
 */
record ViewPace(long firstPatienceMillis, long otherPatienceMillis, long stepMillis, long waitMillis) {
    /**
     * Registrations change all the time, as each heartbeat is a change: a question each half second gathers them, and an
     * endpoint that leaves is known within a second, also when the first host in turn is lost.
     */
    static final ViewPace REGISTRATIONS = new ViewPace(500, 900, 100, 1000);

    /** Operators write seldom, and what they write must be in force within two seconds: the question waits there. */
    static final ViewPace OPERATORS = new ViewPace(0, 1300, 100, 1000);

    /** Hosts come and go seldom, and nothing hangs on knowing it fast. */
    static final ViewPace HOSTS = new ViewPace(0, 4000, 300, 3000);

    /** How old the view may become before the host at a place among the live ones asks. */
    long patienceMillis(int rank) {
        return rank == 0 ? firstPatienceMillis : otherPatienceMillis + (rank - 1) * stepMillis;
    }
}
