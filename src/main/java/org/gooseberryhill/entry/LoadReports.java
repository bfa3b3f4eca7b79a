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
 * Reports to stewards how many online requests this entry has in flight at their endpoints. For the control thread.
 *
 * <p>Invariant: each change is reported in the next round at the latest, and a report without an answer is sent again.
 * Unchanged counts are repeated only every few seconds: with a hundred requests in flight at as many endpoints,
 * repeating them in each round would cost several times what a node may spend on control (docs/CAPACITY.md). The
 * steward discards the counts of a host that the membership lists as lost.
 */
final class LoadReports {
    private static final int ROUNDS_PER_REFRESH = 20;
    private static final int UNKNOWN = Integer.MAX_VALUE;

    private final HostProcess process;
    private final BiConsumer<Set<String>, PeerMessage.EndpointLoads> onLoads;
    private final Map<String, Integer> lastReported = new HashMap<>();
    private final Map<String, Host> stewards = new HashMap<>();
    private long round;
    private long stewardsVersion = -1;

    LoadReports(HostProcess process, BiConsumer<Set<String>, PeerMessage.EndpointLoads> onLoads) {
        this.process = process;
        this.onLoads = onLoads;
    }

    /** Reports the count of one endpoint at once. */
    void reportNow(EndpointSettings endpoint, int inFlight) {
        lastReported.put(endpoint.name(), inFlight);
        steward(endpoint).ifPresent(host -> send(host, Map.of(endpoint.name(), inFlight), List.of()));
    }

    /**
     * Reports endpoints that are slow or whose count has changed; in refresh rounds also all with requests in flight.
     */
    void reportRound(Iterable<EndpointState> endpoints, Set<String> slow) {
        round++;
        boolean refresh = round % ROUNDS_PER_REFRESH == 0;
        Map<Host, Map<String, Integer>> bySteward = new HashMap<>();
        for (EndpointState state : endpoints) {
            int last = lastReported.getOrDefault(state.name(), 0);
            boolean due = state.ownInFlight() != last || refresh && last > 0 || slow.contains(state.name());
            if (!due) {
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
                    } else {
                        // The report may be lost. A count that no endpoint can have makes the next round report again.
                        asked.forEach(endpoint -> lastReported.put(endpoint, UNKNOWN));
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
