package org.gooseberryhill.decision.membership;

import java.util.Collection;
import org.gooseberryhill.host.Host;
import org.gooseberryhill.host.HostId;

/**
 * Decides which host queries the key-value store first for what all hosts need to know. Stateless.
 *
 * <p>Invariants: of the hosts that reach the store, the one with the lowest id has rank 0 once the loss of those before it is
 * known. A host that the store refuses waits for longer than the first ones that it serves, and queries by itself when
 * these are lost.
 */
public final class QueryTurn {
    /**
     * The lowest rank of a host that does not reach the store: each of its calls would be refused, and two other hosts
     * query before it.
     */
    static final int UNREACHED_RANK = 3;

    private QueryTurn() {}

    /**
     * Returns the rank of a host, which determines when it queries the store.
     *
     * @param others the other hosts that are not known to be lost
     * @param storeReached whether the store answers this host
     */
    public static int rank(HostId self, Collection<Host> others, boolean storeReached) {
        int preceding = 0;
        for (Host host : others) {
            if (host.id().compareTo(self) < 0) {
                preceding++;
            }
        }
        return storeReached ? preceding : Math.max(preceding, UNREACHED_RANK);
    }
}
