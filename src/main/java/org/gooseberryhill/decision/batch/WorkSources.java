package org.gooseberryhill.decision.batch;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.gooseberryhill.host.HostId;

/**
 * Tracks which job owners last reported waiting items, and chooses the next owner to ask for items. Not thread-safe.
 *
 * <p>Invariant: for each owner and service at most one request is open; the owner with the earliest due time is asked
 * first.
 */
public final class WorkSources {
    private final Map<HostId, Map<String, Long>> dueByOwner = new HashMap<>();
    private final Map<HostId, Set<String>> openRequests = new HashMap<>();

    /**
     * Applies a heartbeat of an owner, which replaces the due times recorded for that owner.
     *
     * @param earliestDueMillisByService the earliest due time, in epoch milliseconds, of each service with waiting
     *     items
     */
    public void onHeartbeat(HostId owner, Map<String, Long> earliestDueMillisByService) {
        if (earliestDueMillisByService.isEmpty()) {
            dueByOwner.remove(owner);
        } else {
            dueByOwner.put(owner, new HashMap<>(earliestDueMillisByService));
        }
    }

    /** Applies an owner's notice of waiting items for one service. */
    public void onNotice(HostId owner, String service, long dueMillis) {
        dueByOwner.computeIfAbsent(owner, key -> new HashMap<>()).merge(service, dueMillis, Math::min);
    }

    /**
     * Returns the owner to ask for items of a service, or empty if there is none. The request counts as open until
     * {@link #onAnswer}.
     */
    public Optional<HostId> nextOwnerToAsk(String service) {
        Optional<HostId> owner = dueByOwner.entrySet().stream()
                .filter(entry -> entry.getValue().containsKey(service) && !hasOpenRequest(entry.getKey(), service))
                .min(Comparator.comparingLong((Map.Entry<HostId, Map<String, Long>> entry) ->
                                entry.getValue().get(service))
                        .thenComparing(Map.Entry::getKey))
                .map(Map.Entry::getKey);
        owner.ifPresent(found ->
                openRequests.computeIfAbsent(found, key -> new HashSet<>()).add(service));
        return owner;
    }

    /** Closes a request to an owner. An owner without items is not asked again until its next heartbeat or notice. */
    public void onAnswer(HostId owner, String service, boolean hadItems) {
        Set<String> openServices = openRequests.get(owner);
        if (openServices != null) {
            openServices.remove(service);
        }
        Map<String, Long> due = dueByOwner.get(owner);
        if (due != null && !hadItems) {
            due.remove(service);
        }
    }

    /** Removes a lost owner. */
    public void remove(HostId owner) {
        dueByOwner.remove(owner);
        openRequests.remove(owner);
    }

    private boolean hasOpenRequest(HostId owner, String service) {
        return openRequests.getOrDefault(owner, Set.of()).contains(service);
    }
}
