package org.gooseberryhill.decision.routing;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;

/**
 * The endpoints of one service, as a list and on a consistent hash ring (Karger et al., 1997). Not thread-safe.
 *
 * <p>Both allow an endpoint to be chosen without looking at all of them.
 */
public final class ServicePool {
    /** Ring points (virtual nodes) of each endpoint. */
    private static final int POINTS_PER_ENDPOINT = 16;

    private final List<EndpointState> endpoints;
    private final long[] ringHashes;
    private final EndpointState[] ringOwners;

    ServicePool(List<EndpointState> endpoints) {
        this.endpoints = endpoints;
        int points = endpoints.size() * POINTS_PER_ENDPOINT;
        RingPoint[] ring = new RingPoint[points];
        for (int i = 0; i < points; i++) {
            EndpointState endpoint = endpoints.get(i / POINTS_PER_ENDPOINT);
            String label = endpoint.name() + "\0" + i % POINTS_PER_ENDPOINT;
            ring[i] = new RingPoint(Hashing.komihash5_0().hashCharsToLong(label), endpoint);
        }
        Arrays.sort(ring, Comparator.comparingLong(RingPoint::hash));
        ringHashes = Arrays.stream(ring).mapToLong(RingPoint::hash).toArray();
        ringOwners = Arrays.stream(ring).map(RingPoint::owner).toArray(EndpointState[]::new);
    }

    /** Returns the endpoints in the order of the configuration. */
    public List<EndpointState> endpoints() {
        return endpoints;
    }

    /** Returns the owner of the ring point that is the given number of steps after the first one at or after a hash. */
    public EndpointState ringOwnerAt(long hash, int step) {
        int found = Arrays.binarySearch(ringHashes, hash);
        int start = found >= 0 ? found : -found - 1;
        return ringOwners[(start + step) % ringOwners.length];
    }

    /** A point on the hash ring. */
    private record RingPoint(long hash, EndpointState owner) {}
}
