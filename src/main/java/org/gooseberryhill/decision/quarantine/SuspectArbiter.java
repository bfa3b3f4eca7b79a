package org.gooseberryhill.decision.quarantine;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.contract.Fingerprint;
import org.gooseberryhill.decision.quarantine.CrashSuspects.Verdict;

/**
 * Assigns endpoints to the suspects of one service, on behalf of all hosts. A suspect is a request that was in flight
 * when an endpoint crashed. Not thread-safe.
 *
 * <p>Invariant: a suspect runs at one endpoint at a time, and no two suspects share an endpoint, so that a second crash
 * has a single cause. A request with two crashes gets no grant, even if the host that asks has not heard of the second
 * one yet. A grant ends when its holder releases it, or when it expires, since the holder may be lost. An
 * arbiter that takes over does not know the grants of its predecessor; each takeover can therefore cause at most one
 * more crash.
 */
public final class SuspectArbiter {
    private final CrashSuspects suspects;
    private final long grantDurationNanos;
    private final Map<Fingerprint, Grant> grants = new HashMap<>();

    /**
     * Creates an arbiter without grants.
     *
     * @param suspects the crashes that hosts have reported to the arbiter
     * @param grantMillis the time after which a grant expires, in milliseconds
     */
    public SuspectArbiter(CrashSuspects suspects, long grantMillis) {
        this.suspects = suspects;
        this.grantDurationNanos = TimeUnit.MILLISECONDS.toNanos(grantMillis);
    }

    /**
     * Grants the first of the endpoints that no other suspect holds; returns empty if the suspect has to wait or is
     * quarantined.
     */
    public Optional<String> tryAcquire(Fingerprint suspect, List<String> endpoints, long nowNanos) {
        grants.values().removeIf(grant -> nowNanos - grant.grantedNanos > grantDurationNanos);
        if (grants.containsKey(suspect) || suspects.verdict(suspect, nowNanos) == Verdict.QUARANTINED) {
            return Optional.empty();
        }
        Optional<String> free = endpoints.stream()
                .filter(endpoint -> grants.values().stream().noneMatch(grant -> grant.endpoint.equals(endpoint)))
                .findFirst();
        free.ifPresent(endpoint -> grants.put(suspect, new Grant(endpoint, nowNanos)));
        return free;
    }

    /** Ends the grant of a suspect. */
    public void release(Fingerprint suspect) {
        grants.remove(suspect);
    }

    /** The endpoint granted to a suspect. */
    private record Grant(String endpoint, long grantedNanos) {}
}
