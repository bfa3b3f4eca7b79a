package org.gooseberryhill.decision.routing;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The endpoints of one service, as a list and on a consistent hash ring (Karger et al., 1997). Not thread-safe.
 *
 * <p>Both allow an endpoint to be chosen without looking at all of them.
 */
public final class ServicePool {
    /** Ring points (virtual nodes) of each endpoint. */
    private static final int POINTS_PER_ENDPOINT = 16;

    /**
     * Endpoints that a request hashes to, beside the one that its prefix hashes to. With one more for the permit of a
     * suspect, a request that crashes endpoints would otherwise reach as many of them as there are hosts.
     */
    private static final int ENDPOINTS_BY_REQUEST = 2;

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

    /** Returns the owner of the first ring point at or after a hash. */
    public EndpointState ringOwner(long hash) {
        return ringOwners[ringIndex(hash)];
    }

    /**
     * Returns the endpoints that a request is sent to while one of them is usable: the owner of its prefix, if it has
     * one, and two others by the hash of the whole request. Equal on all hosts with the same configuration, whatever the
     * load and health of the endpoints.
     */
    public Set<EndpointState> candidates(RouteRequest request) {
        Set<EndpointState> candidates = new LinkedHashSet<>();
        if (request.prefixHash() != 0 && !endpoints.isEmpty()) {
            candidates.add(ringOwner(request.prefixHash()));
        }
        candidates.addAll(candidatesByRequest(request));
        return candidates;
    }

    /**
     * Returns the two candidates that follow from the hash of the whole request. Chosen from the list rather than from the
     * ring, whose arcs differ in length and would spread requests unevenly.
     */
    List<EndpointState> candidatesByRequest(RouteRequest request) {
        int size = endpoints.size();
        if (size <= ENDPOINTS_BY_REQUEST) {
            return endpoints;
        }
        long hash = request.requestHash();
        int first = (int) Long.remainderUnsigned(hash, size);
        int distance = 1 + (int) Long.remainderUnsigned(Long.divideUnsigned(hash, size), size - 1L);
        return List.of(endpoints.get(first), endpoints.get((first + distance) % size));
    }

    private int ringIndex(long hash) {
        int found = Arrays.binarySearch(ringHashes, hash);
        int start = found >= 0 ? found : -found - 1;
        return start % Math.max(1, ringOwners.length);
    }

    /** A point on the hash ring. */
    private record RingPoint(long hash, EndpointState owner) {}
}
