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
 * Tells stewards how many online requests this entry has at their endpoints. Used by the control thread only.
 *
 * <p>Invariant: an endpoint with requests in flight is reported each round, so that its steward's knowledge can't
 * outlive this host; one without is reported once more with 0 and then not at all.
 */
final class LoadReports {
    private final HostProcess process;
    private final BiConsumer<Set<String>, PeerMessage.EndpointLoads> onLoads;
    private final Map<String, Integer> lastReported = new HashMap<>();
    private final Map<String, Host> stewards = new HashMap<>();
    private long stewardsVersion = -1;

    LoadReports(HostProcess process, BiConsumer<Set<String>, PeerMessage.EndpointLoads> onLoads) {
        this.process = process;
        this.onLoads = onLoads;
    }

    /** Reports one endpoint at once. */
    void reportNow(EndpointSettings endpoint, int inFlight) {
        lastReported.put(endpoint.name(), inFlight);
        steward(endpoint).ifPresent(host -> send(host, Map.of(endpoint.name(), inFlight), List.of()));
    }

    /** Reports all endpoints that have requests in flight, or had at the last report. */
    void reportAll(Iterable<EndpointState> endpoints, Set<String> slow) {
        Map<Host, Map<String, Integer>> bySteward = new HashMap<>();
        for (EndpointState state : endpoints) {
            boolean silent = state.ownInFlight() == 0 && lastReported.getOrDefault(state.name(), 0) == 0;
            if (silent && !slow.contains(state.name())) {
                continue;
            }
            lastReported.put(state.name(), state.ownInFlight());
            steward(state.settings())
                    .ifPresent(host -> bySteward
                            .computeIfAbsent(host, key -> new HashMap<>())
                            .put(state.name(), state.ownInFlight()));
        }
        bySteward.forEach((host, inFlight) -> {
            List<String> slowThere = new ArrayList<>(inFlight.keySet());
            slowThere.retainAll(slow);
            send(host, inFlight, slowThere);
        });
    }

    private void send(Host steward, Map<String, Integer> inFlight, List<String> slow) {
        Set<String> asked = new HashSet<>(inFlight.keySet());
        process.ask(steward, new PeerMessage.OnlineLoad(inFlight, slow))
                .whenComplete((reply, failure) -> process.loop().execute(() -> {
                    if (reply instanceof PeerMessage.EndpointLoads loads) {
                        onLoads.accept(asked, loads);
                    }
                }));
    }

    private Optional<Host> steward(EndpointSettings endpoint) {
        if (stewardsVersion != process.membership().version()) {
            stewardsVersion = process.membership().version();
            stewards.clear();
        }
        Host known = stewards.computeIfAbsent(
                endpoint.name(),
                name -> Ownership.ownerOfEndpoint(name, endpoint.zone(), process.present(Role.STEWARD))
                        .orElse(null));
        return Optional.ofNullable(known);
    }
}
