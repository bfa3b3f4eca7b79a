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
 * <p>Invariants: no two permits in force share a part; no two share an endpoint if one of them is for confined parts, so that a
 * further crash has a single suspect. A permit ends when it is returned, or when it expires since its holder may be lost. A
 * host that takes over does not know the permits of its predecessor, so that a part may run twice at a time then.
 */
public final class IsolationPermits {
    /** Longer than most requests run; a holder that is lost holds the part up for as long. */
    private static final long LIFETIME_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final List<Granted> granted = new ArrayList<>();

    /**
     * Grants a permit for the first of the endpoints that may be used; returns empty if a part is running or no endpoint is free.
     *
     * @param confined whether the endpoint may not be shared with other suspects
     */
    public Optional<IsolationPermit> tryAcquire(
            Set<PromptPartKey> parts, boolean confined, List<EndpointKey> endpoints, long nowNanos) {
        granted.removeIf(permit -> nowNanos - permit.atNanos > LIFETIME_NANOS);
        boolean running = granted.stream().anyMatch(permit -> !Collections.disjoint(permit.permit.parts(), parts));
        if (running) {
            return Optional.empty();
        }
        Optional<EndpointKey> unused =
                endpoints.stream().filter(endpoint -> !isUsed(endpoint)).findFirst();
        Optional<EndpointKey> shared = confined
                ? Optional.empty()
                : endpoints.stream().filter(endpoint -> !isConfined(endpoint)).findFirst();
        Optional<IsolationPermit> permit =
                unused.or(() -> shared).map(endpoint -> new IsolationPermit(parts, endpoint));
        permit.ifPresent(given -> granted.add(new Granted(given, confined, nowNanos)));
        return permit;
    }

    /** Ends a permit. */
    public void release(IsolationPermit permit) {
        granted.removeIf(given -> given.permit.equals(permit));
    }

    private boolean isUsed(EndpointKey endpoint) {
        return granted.stream().anyMatch(given -> given.permit.endpoint().equals(endpoint));
    }

    private boolean isConfined(EndpointKey endpoint) {
        return granted.stream()
                .anyMatch(given -> given.confined && given.permit.endpoint().equals(endpoint));
    }

    /** A permit in force. */
    private record Granted(IsolationPermit permit, boolean confined, long atNanos) {}
}
