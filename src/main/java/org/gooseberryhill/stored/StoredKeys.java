package org.gooseberryhill.stored;

/** Defines the keys that the system uses in the key-value store. Stateless. */
public final class StoredKeys {
    /** Prefix of the live hosts' keys; each key is bound to its host's lease. */
    public static final String HOSTS = "/gooseberry/gateways/";

    /** Key of the record of software versions. It is read and followed with the list of hosts, so it costs no call of its own. */
    public static final String VERSIONS = HOSTS + "~versions";

    /** Key of the record of blocked parts of prompts, which is followed with the list of hosts, too. */
    public static final String QUARANTINE = HOSTS + "~quarantine";

    /** Prefix of the request batches' records. */
    public static final String BATCHES = "/gooseberry/batches/";

    private static final String BODIES = "/gooseberry/batch-bodies/";
    private static final String RESULTS = "/gooseberry/batch-results/";
    private static final String CHECKPOINTS = "/gooseberry/batch-progress/";

    private StoredKeys() {}

    /** Returns the key of a live host. */
    public static String host(String host) {
        return HOSTS + host;
    }

    /** Returns the key of a batch's record. */
    public static String batch(String batch) {
        return BATCHES + batch;
    }

    /** Returns the key of one part of a batch's items, as submitted; parts are numbered from 0. */
    public static String body(String batch, int part) {
        return BODIES + batch + "/" + part;
    }

    /** Returns the key of the checkpoints of a batch's open items. */
    public static String checkpoints(String batch) {
        return CHECKPOINTS + batch;
    }

    /**
     * Returns the key of a value with committed results.
     *
     * @param number the number of the value as the batch's record tells it
     */
    public static String results(String batch, int number) {
        return RESULTS + batch + "/" + number;
    }
}
