package org.gooseberryhill.decision.promptpart;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.directory.EndpointKey;

/**
 * Grants permits to run requests with suspected parts, on behalf of all hosts. Not thread-safe.
 *
 * <p>Invariants: no two permits in force share a part; no two for confined parts share an endpoint, so that a further crash
 * has a single suspect among them. A permit ends when it is returned, or when it expires since its holder may be lost. A
 * host that takes over does not know the permits of its predecessor, so that a part may run twice at a time then.
 */
public final class IsolationPermits {
    /** Longer than most requests run; a holder that is lost holds the part up for as long. */
    private static final long LIFETIME_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final List<Granted> granted = new ArrayList<>();

    /**
     * Grants a permit; returns empty if a part is running, or if the parts are confined and no endpoint is free of other suspects.
     *
     * @param confined whether the request runs apart from the other confined ones, at the first free of the endpoints
     */
    public Optional<IsolationPermit> tryAcquire(
            Set<PromptPartKey> parts, boolean confined, List<EndpointKey> endpoints, long nowNanos) {
        granted.removeIf(permit -> nowNanos - permit.atNanos > LIFETIME_NANOS);
        boolean running = granted.stream().anyMatch(given -> !Collections.disjoint(given.permit.parts(), parts));
        if (running) {
            return Optional.empty();
        }
        Optional<IsolationPermit> permit = confined
                ? endpoints.stream()
                        .filter(endpoint -> !isUsed(endpoint))
                        .findFirst()
                        .map(endpoint -> new IsolationPermit(parts, Optional.of(endpoint)))
                : Optional.of(new IsolationPermit(parts, Optional.empty()));
        permit.ifPresent(given -> granted.add(new Granted(given, nowNanos)));
        return permit;
    }

    /** Ends a permit. */
    public void release(IsolationPermit permit) {
        granted.removeIf(given -> given.permit.equals(permit));
    }

    private boolean isUsed(EndpointKey endpoint) {
        return granted.stream().anyMatch(given -> given.permit.endpoint().equals(Optional.of(endpoint)));
    }

    /** A permit in force. */
    private record Granted(IsolationPermit permit, long atNanos) {}
}
