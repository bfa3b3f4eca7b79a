package org.gooseberryhill.decision.batch;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.gooseberryhill.host.HostId;

/**
 * Which job owners have waiting items, as last heard, and whom to ask next. Not thread-safe.
 *
 * <p>Invariant: one question for each owner and service at a time; the owner with the earliest due time comes first.
 */
public final class WorkSources {
    private final Map<HostId, Map<String, Long>> dueByOwner = new HashMap<>();
    private final Map<HostId, Set<String>> asked = new HashMap<>();

    /** A heartbeat told all services for which an owner has waiting items. */
    public void heard(HostId owner, Map<String, Long> dueByService) {
        if (dueByService.isEmpty()) {
            dueByOwner.remove(owner);
        } else {
            dueByOwner.put(owner, new HashMap<>(dueByService));
        }
    }

    /** A notice told one service. */
    public void noticed(HostId owner, String service, long dueMillis) {
        dueByOwner.computeIfAbsent(owner, key -> new HashMap<>()).merge(service, dueMillis, Math::min);
    }

    /** The owner to ask for a service now; it counts as asked until {@link #answered}. */
    public Optional<HostId> nextToAsk(String service) {
        Optional<HostId> owner = dueByOwner.entrySet().stream()
                .filter(entry -> entry.getValue().containsKey(service) && !isAsked(entry.getKey(), service))
                .min(Comparator.comparingLong((Map.Entry<HostId, Map<String, Long>> entry) ->
                                entry.getValue().get(service))
                        .thenComparing(Map.Entry::getKey))
                .map(Map.Entry::getKey);
        owner.ifPresent(
                found -> asked.computeIfAbsent(found, key -> new HashSet<>()).add(service));
        return owner;
    }

    /** An owner answered, or failed to; without items it is not asked again before it is heard of again. */
    public void answered(HostId owner, String service, boolean hadItems) {
        Set<String> open = asked.get(owner);
        if (open != null) {
            open.remove(service);
        }
        Map<String, Long> due = dueByOwner.get(owner);
        if (due != null && !hadItems) {
            due.remove(service);
        }
    }

    /** An owner is lost. */
    public void lost(HostId owner) {
        dueByOwner.remove(owner);
        asked.remove(owner);
    }

    private boolean isAsked(HostId owner, String service) {
        return asked.getOrDefault(owner, Set.of()).contains(service);
    }
}
