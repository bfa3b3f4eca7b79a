package org.gooseberryhill.decision.replay;

/**
 * The size and the mean load of a replayed deployment. Immutable.
 *
 * @param hosts number of hosts
 * @param endpoints number of endpoints
 * @param zones number of availability zones that hosts and endpoints are spread over
 * @param slots number of slots of an endpoint
 * @param tokensPerEvent number of tokens in an event
 * @param streamEvents mean number of events of a stream
 * @param itemEvents mean number of events of a batch item
 * @param streamsPerSecond mean rate of streams
 * @param batchesPerSecond mean rate of batches, each of about ten items
 */
record ReplaySize(
        int hosts,
        int endpoints,
        int zones,
        int slots,
        double tokensPerEvent,
        int streamEvents,
        int itemEvents,
        double streamsPerSecond,
        double batchesPerSecond) {
    /** A small deployment. */
    static final ReplaySize SMALL = new ReplaySize(8, 13, 1, 8, 8, 25, 173, 56.5, 0.72);

    /** A large deployment, whose load peaks need nearly all slots. */
    static final ReplaySize LARGE = new ReplaySize(80, 37, 5, 7, 6, 34, 231, 175, 2.44);

    /** As many hosts as a small part of the large deployment, with more batches than the slots can complete in time. */
    static final ReplaySize OVERLOADED = new ReplaySize(15, 7, 5, 7, 6, 34, 231, 31, 2.44);

    /**
     * Returns a deployment of many client accounts whose requests hold a slot for 0.75 s: 62 endpoints and 304 streams a second for each
     * 60 hosts, and few batches.
     */
    static ReplaySize ofCompetingAccounts(int hosts) {
        return new ReplaySize(hosts, Math.round(hosts * 62 / 60f), 4, 8, 10, 20, 130, hosts * 304 / 60.0, hosts * 0.02);
    }
}
