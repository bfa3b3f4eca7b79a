package org.gooseberryhill.external;

import org.gooseberryhill.http.HttpClient;

/** Creates clients of the key-value store. */
@FunctionalInterface
public interface KeyValueStoreFactory {
    /** Creates a client that uses the process's HTTP client. */
    PollingKeyValueStore create(HttpClient http);
}
