package org.gooseberryhill.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import org.gooseberryhill.configuration.EndpointSettings;
import org.gooseberryhill.decision.ownership.Ownership;
import org.gooseberryhill.decision.routing.EndpointState;
import org.gooseberryhill.host.Host;
import org.gooseberryhill.host.Role;
import org.gooseberryhill.peer.PeerMessage;
import org.gooseberryhill.process.HostProcess;

/**
 * Reports to stewards how many online requests this entry has in flight at their endpoints. Confined to the control
 * thread.
 *
 * <p>Invariant: each change is reported in the next round at the latest, and a report without an answer is sent again.
 * Unchanged counts are repeated only every few seconds: with a hundred requests in flight at as many endpoints,
 * repeating them in each round would cost several times what a node may spend on control (docs/CAPACITY.md). The
 * steward discards the counts of a host that the membership lists as lost.
 */
final class LoadReporter {
    private static final int ROUNDS_PER_REFRESH = 20;
    private static final int UNCONFIRMED = Integer.MAX_VALUE;

    private final HostProcess process;
    private final BiConsumer<Set<String>, PeerMessage.EndpointLoads> onLoads;
    private final Map<String, Integer> lastReported = new HashMap<>();
    private final Map<String, Host> stewardByEndpoint = new HashMap<>();
    private long round;
    private long membershipVersion = -1;

    LoadReporter(HostProcess process, BiConsumer<Set<String>, PeerMessage.EndpointLoads> onLoads) {
        this.process = process;
        this.onLoads = onLoads;
    }

    /** Reports the count of one endpoint at once. */
    void reportNow(EndpointSettings endpoint, int inFlight) {
        lastReported.put(endpoint.name(), inFlight);
        stewardOf(endpoint).ifPresent(host -> send(host, Map.of(endpoint.name(), inFlight), List.of()));
    }

    /**
     * Reports endpoints that are slow or whose count has changed; in refresh rounds also all with requests in flight.
     */
    void reportChanges(Iterable<EndpointState> endpoints, Set<String> slow) {
        round++;
        boolean refresh = round % ROUNDS_PER_REFRESH == 0;
        Map<Host, Map<String, Integer>> countsBySteward = new HashMap<>();
        for (EndpointState state : endpoints) {
            int lastCount = lastReported.getOrDefault(state.name(), 0);
            boolean needsReport =
                    state.ownInFlight() != lastCount || refresh && lastCount > 0 || slow.contains(state.name());
            if (!needsReport) {
                continue;
            }
            lastReported.put(state.name(), state.ownInFlight());
            stewardOf(state.settings())
                    .ifPresent(host -> countsBySteward
                            .computeIfAbsent(host, key -> new HashMap<>())
                            .put(state.name(), state.ownInFlight()));
        }
        countsBySteward.forEach((host, inFlight) -> {
            List<String> slowEndpoints = new ArrayList<>(inFlight.keySet());
            slowEndpoints.retainAll(slow);
            send(host, inFlight, slowEndpoints);
        });
    }

    private void send(Host steward, Map<String, Integer> inFlight, List<String> slow) {
        Set<String> reportedEndpoints = new HashSet<>(inFlight.keySet());
        process.ask(steward, new PeerMessage.OnlineLoad(inFlight, slow))
                .whenComplete((reply, failure) -> process.loop().execute(() -> {
                    if (reply instanceof PeerMessage.EndpointLoads loads) {
                        onLoads.accept(reportedEndpoints, loads);
                    } else {
                        // The report may be lost. A count that no endpoint can have differs from the actual one, so the
                        // next round reports it again.
                        reportedEndpoints.forEach(endpoint -> lastReported.put(endpoint, UNCONFIRMED));
                    }
                }));
    }

    private Optional<Host> stewardOf(EndpointSettings endpoint) {
        if (membershipVersion != process.membership().version()) {
            membershipVersion = process.membership().version();
            stewardByEndpoint.clear();
        }
        Host steward = stewardByEndpoint.computeIfAbsent(
                endpoint.name(),
                name -> Ownership.ownerOfEndpoint(name, endpoint.zone(), process.presentHosts(Role.STEWARD))
                        .orElse(null));
        return Optional.ofNullable(steward);
    }
}
