package org.gooseberryhill.gateway;

import java.util.Locale;
import org.gooseberryhill.stored.StoredKeys;

/** What a call to the key-value store is for, as a label of the metric on these calls. */
enum StoreCallPurpose {
    /** Changes of the views. */
    WATCH,
    /** The lease and the key of this host. */
    LEASE,
    /** The list of hosts. */
    HOST_LIST,
    /** The registrations of endpoints. */
    DIRECTORY,
    /** Configurations and evacuation requests. */
    CONFIGURATION,
    /** The records that are kept beside the list of hosts. */
    RECORD,
    /** Records, items, results and checkpoints of request batches. */
    BATCH,
    /** Any call for another host. */
    RELAYED;

    /** Returns the purpose of a write by the first key that it writes. */
    static StoreCallPurpose ofWrite(String key) {
        if (key.equals(StoredKeys.VERSIONS) || key.equals(StoredKeys.QUARANTINE)) {
            return RECORD;
        }
        return key.startsWith(StoredKeys.HOSTS) ? LEASE : BATCH;
    }

    /** Returns the value of the label. */
    String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
