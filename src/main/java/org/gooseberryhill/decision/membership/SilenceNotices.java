package org.gooseberryhill.decision.membership;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.host.HostId;

/**
 * The hosts that their watchers do not hear any more, as they tell all others. Not thread-safe.
 *
 * <p>Invariant: one watcher alone is not believed, since the link between it and the host may be cut.
 */
final class SilenceNotices {
    private static final int MIN_REPORTERS = 2;

    /** Notices are repeated each 5 s while a host is silent; without a repetition its watchers have heard it again. */
    private static final long MAX_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(11_000);

    private final Map<HostId, Map<HostId, Long>> noticedNanos = new HashMap<>();
    private final Map<HostId, Long> silentSinceNanos = new HashMap<>();

    /** Records a watcher's notice; returns whether the host counts as silent from now on. */
    boolean add(HostId watcher, HostId silent, long nowNanos) {
        noticedNanos.computeIfAbsent(silent, host -> new HashMap<>()).put(watcher, nowNanos);
        if (!isSilent(silent, nowNanos)) {
            silentSinceNanos.remove(silent);
            return false;
        }
        return silentSinceNanos.putIfAbsent(silent, nowNanos) == null;
    }

    /** Removes the notices about a host that was heard. */
    void clear(HostId host) {
        noticedNanos.remove(host);
        silentSinceNanos.remove(host);
    }

    /** Returns whether a host is silent by what its watchers say. */
    boolean isSilent(HostId host, long nowNanos) {
        return noticedNanos.getOrDefault(host, Map.of()).values().stream()
                        .filter(atNanos -> nowNanos - atNanos <= MAX_AGE_NANOS)
                        .count()
                >= MIN_REPORTERS;
    }

    /** Returns whether a host has been silent for at least the given time since its watchers said so. */
    boolean isSilentFor(HostId host, long nanos, long nowNanos) {
        Long sinceNanos = silentSinceNanos.get(host);
        return sinceNanos != null && isSilent(host, nowNanos) && nowNanos - sinceNanos >= nanos;
    }
}
