package org.gooseberryhill.decision.promptpart;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.directory.EndpointEntry;
import org.gooseberryhill.directory.EndpointKey;
import org.gooseberryhill.host.HostId;

/**
 * Finds endpoints that have crashed although their address accepts connections: a successor has registered there since connections
 * to them were lost. Not thread-safe.
 *
 * <p>Load pattern: endpoints that crash are restarted at once, or a busy host checks them late.
 *
 * <p>Invariants: an endpoint that was leaving when its connections were lost is never found, since its address may be reused after a
 * planned end; each loss is returned at most once.
 */
public final class ReplacedEndpoints {
    /** Longest time between a lost connection and the registration of a successor that explains it. */
    private static final long MAX_REPLACEMENT_NANOS = TimeUnit.SECONDS.toNanos(2);

    private static final int MAX_LOSSES = 256;

    private final HostId self;
    private final Map<EndpointKey, Loss> losses = new LinkedHashMap<>();

    /** Creates an instance for the crashes that a host reports. */
    public ReplacedEndpoints(HostId self) {
        this.self = self;
    }

    /** Records that requests were lost at an endpoint whose address accepts connections. */
    public void connectionsLost(EndpointEntry endpoint, List<CrashedRun> runs, long atNanos) {
        if (endpoint.leaving()) {
            return;
        }
        Loss loss = losses.computeIfAbsent(endpoint.key(), key -> new Loss(endpoint, atNanos, new ArrayList<>()));
        loss.runs.addAll(runs);
        if (losses.size() > MAX_LOSSES) {
            losses.remove(losses.keySet().iterator().next());
        }
    }

    /** Returns the crashes of endpoints at whose addresses others are registered now. */
    public List<EndpointCrash> takeCrashes(Collection<EndpointEntry> directory, long nowNanos) {
        losses.values().removeIf(loss -> nowNanos - loss.atNanos > MAX_REPLACEMENT_NANOS);
        if (losses.isEmpty()) {
            return List.of();
        }
        List<EndpointCrash> crashes = new ArrayList<>();
        losses.values().removeIf(loss -> {
            boolean replaced = directory.stream().anyMatch(loss::isReplacedBy);
            if (replaced) {
                crashes.add(new EndpointCrash(loss.endpoint.key(), self, loss.atNanos, List.copyOf(loss.runs)));
            }
            return replaced;
        });
        return crashes;
    }

    /** The requests that were lost at an endpoint. */
    private record Loss(EndpointEntry endpoint, long atNanos, List<CrashedRun> runs) {
        boolean isReplacedBy(EndpointEntry other) {
            return other.address().equals(endpoint.address()) && !other.key().equals(endpoint.key());
        }
    }
}
