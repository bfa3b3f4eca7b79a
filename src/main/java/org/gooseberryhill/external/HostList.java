package org.gooseberryhill.external;

import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.gooseberryhill.host.Host;

/** The platform's list of live and leaving hosts, which may lag behind their actual state. Thread-safe. */
public interface HostList {
    /** Reads the list; a failed read completes with {@link ExternalServiceException}. */
    CompletableFuture<Listing> read();

    /**
     * The list as of some earlier time.
     *
     * @param hosts the system's own hosts
     * @param leavingEndpoints names of the endpoints that are leaving
     */
    record Listing(List<Host> hosts, Set<String> leavingEndpoints) {}
}
