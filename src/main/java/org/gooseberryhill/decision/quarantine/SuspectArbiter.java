package org.gooseberryhill.decision.quarantine;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.contract.Fingerprint;

/**
 * Grants the runs of suspects of one service, for all hosts. Not thread-safe.
 *
 * <p>Invariant: a suspect runs at one endpoint at a time, and no two suspects share an endpoint, so a second crash has
 * one cause. A grant ends when its holder says so or after a time, since the holder may be lost. An arbiter that takes
 * over without the grants of the one before may let one more endpoint crash, never more for each takeover.
 */
public final class SuspectArbiter {
    private final long grantNanos;
    private final Map<Fingerprint, Grant> grants = new HashMap<>();

    /** An arbiter whose grants end after a time in milliseconds. */
    public SuspectArbiter(long grantMillis) {
        this.grantNanos = TimeUnit.MILLISECONDS.toNanos(grantMillis);
    }

    /** Grants the first of the endpoints that no other suspect has; empty if the suspect has to wait. */
    public Optional<String> ask(Fingerprint suspect, List<String> endpoints, long nowNanos) {
        grants.values().removeIf(grant -> nowNanos - grant.sinceNanos > grantNanos);
        if (grants.containsKey(suspect)) {
            return Optional.empty();
        }
        Optional<String> free = endpoints.stream()
                .filter(endpoint -> grants.values().stream().noneMatch(grant -> grant.endpoint.equals(endpoint)))
                .findFirst();
        free.ifPresent(endpoint -> grants.put(suspect, new Grant(endpoint, nowNanos)));
        return free;
    }

    /** The run of a suspect is over. */
    public void release(Fingerprint suspect) {
        grants.remove(suspect);
    }

    /** A suspect's run. */
    private record Grant(String endpoint, long sinceNanos) {}
}
