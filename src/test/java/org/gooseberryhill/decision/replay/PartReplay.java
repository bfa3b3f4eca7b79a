package org.gooseberryhill.decision.replay;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.gooseberryhill.decision.ownership.Ownership;
import org.gooseberryhill.decision.promptpart.QuarantineRecord;
import org.gooseberryhill.directory.EndpointEntry;
import org.gooseberryhill.directory.EndpointKey;
import org.gooseberryhill.host.Host;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.host.Role;
import org.gooseberryhill.link.Address;
import org.gooseberryhill.route.Route;
import org.gooseberryhill.route.RouteKind;
import org.gooseberryhill.route.RouteTarget;
import org.gooseberryhill.zone.AvailabilityZone;

/**
 * Replays requests whose prompts share parts, some of which crash endpoints, through the decisions of all hosts of a deployment in
 * virtual time, with messages that are delayed or lost, and with faults of hosts and endpoints.
 */
final class PartReplay {
    private static final double MIN_RUN_MILLIS = 400;
    private static final double MORE_RUN_MILLIS = 900;
    private static final double DOWN_MILLIS = 3500;
    private static final double LAPSE_MILLIS = 2600;
    private static final double DIRECTORY_MILLIS = 500;
    private static final double STORE_MILLIS = 10;
    private static final double LOSS_NOTICED_SECONDS = 4;

    private final VirtualClock clock = new VirtualClock();
    private final PartScenario scenario;
    private final Random random;
    private final Route route;
    private final Map<HostId, PartReplayHost> hosts = new LinkedHashMap<>();
    private final Set<HostId> cutOff = new HashSet<>();
    private final Map<HostId, Double> downSinceSeconds = new LinkedHashMap<>();
    private final Map<HostId, Double> outOfTouchUntilSeconds = new LinkedHashMap<>();
    private final Map<EndpointKey, PartReplayEndpoint> endpoints = new LinkedHashMap<>();
    private final Map<EndpointKey, EndpointEntry> directory = new LinkedHashMap<>();
    private final PartReplayFigures figures;
    private QuarantineRecord record = QuarantineRecord.EMPTY;
    private long recordRevision;
    private long messages;
    private int started;

    PartReplay(PartScenario scenario, long seed) {
        this.scenario = scenario;
        this.figures = new PartReplayFigures(scenario.crashing());
        this.random = new Random(seed);
        this.route = new Route(
                "r",
                "h",
                "/p/",
                RouteKind.STREAM,
                List.of(new RouteTarget(PartScenario.SERVICE, 1)),
                5000,
                300,
                2,
                0,
                true,
                true,
                200,
                0,
                0,
                false);
        for (int i = 0; i < scenario.endpoints(); i++) {
            startEndpoint("v1");
        }
        for (int i = 0; i < scenario.hosts(); i++) {
            startHost(new HostId("h" + i));
        }
        clock.schedule(0, this::sendSound);
        scenario.crashing()
                .forEach(requests ->
                        clock.schedule(1000 * requests.fromSeconds(), () -> sendCrashing(requests, new ArrayList<>())));
    }

    void advance(double seconds) {
        clock.advance(1000 * seconds);
    }

    /** Schedules a fault. */
    void at(double seconds, Runnable fault) {
        clock.schedule(1000 * seconds, fault);
    }

    // Faults

    /** Crashes a share of the endpoints without a request being the cause. */
    void crashEndpoints(double share) {
        for (PartReplayEndpoint endpoint : List.copyOf(endpoints.values())) {
            if (endpoint.isUp() && random.nextDouble() < share) {
                endpoint.crash();
                restartLater(endpoint.entry());
            }
        }
    }

    /** Replaces a share of the endpoints by others of a software version, without a crash. */
    void release(double share, String version) {
        for (PartReplayEndpoint endpoint : List.copyOf(endpoints.values())) {
            if (endpoint.isUp() && random.nextDouble() < share) {
                directory.remove(endpoint.entry().key());
                startEndpoint(version);
            }
        }
        clock.schedule(DIRECTORY_MILLIS, this::publishDirectory);
    }

    /** Resets a share of the connections between a host and all endpoints. */
    void resetConnections(int host, double share) {
        PartReplayHost chosen = host(host);
        endpoints.values().forEach(endpoint -> endpoint.reset(chosen, share, random));
    }

    /** Cuts a host off from the other hosts and the store for some time. */
    void cutOff(int host, double seconds) {
        HostId id = host(host).id();
        cutOff.add(id);
        outOfTouchUntilSeconds.put(id, seconds() + seconds + PartReplayFigures.STABLE_SECONDS);
        at(seconds, () -> {
            cutOff.remove(id);
            clock.schedule(STORE_MILLIS, () -> hosts.get(id).recordRead(record, recordRevision));
        });
    }

    /** Ends the process of a host; after some time another one starts, which knows nothing. */
    void restartHost(int host, double downSeconds) {
        HostId id = host(host).id();
        hosts.get(id).end();
        downSinceSeconds.put(id, seconds());
        outOfTouchUntilSeconds.put(id, seconds() + downSeconds + PartReplayFigures.STABLE_SECONDS);
        at(downSeconds, () -> {
            downSinceSeconds.remove(id);
            startHost(id);
        });
    }

    void restartAllHosts(double downSeconds) {
        for (int i = 0; i < scenario.hosts(); i++) {
            restartHost(i, downSeconds);
        }
    }

    /** Ends the process of the host that grants permits. */
    void restartGrantingHost(double downSeconds) {
        Host granting =
                Ownership.ownerOfSuspects(PartScenario.SERVICE, knownHosts()).orElseThrow();
        restartHost(Integer.parseInt(granting.id().value().substring(1)), downSeconds);
    }

    // What hosts do

    PartPolicy policy() {
        return scenario.policy();
    }

    int hostCount() {
        return scenario.hosts();
    }

    /** Returns the hosts that the others take for alive. */
    List<Host> knownHosts() {
        return hosts.values().stream()
                .map(PartReplayHost::host)
                .filter(host -> seconds() - downSinceSeconds.getOrDefault(host.id(), seconds()) < LOSS_NOTICED_SECONDS)
                .toList();
    }

    void send(PartReplayHost from, HostId to, Consumer<PartReplayHost> action) {
        if (from.id().equals(to)) {
            action.accept(from);
            return;
        }
        messages++;
        boolean unreachable = cutOff.contains(from.id()) || cutOff.contains(to) || downSinceSeconds.containsKey(to);
        if (unreachable || random.nextDouble() < scenario.lossShare()) {
            return;
        }
        clock.schedule(0.8 - 1.5 * Math.log(1 - random.nextDouble()), () -> action.accept(hosts.get(to)));
    }

    void broadcast(PartReplayHost from, Consumer<PartReplayHost> action) {
        hosts.keySet().stream().filter(id -> !id.equals(from.id())).forEach(id -> send(from, id, action));
    }

    /** Writes the record if its revision is the expected one. */
    void write(PartReplayHost host, QuarantineRecord written, long expectedRevision) {
        clock.schedule(STORE_MILLIS, () -> {
            if (!cutOff.contains(host.id()) && recordRevision == expectedRevision) {
                record = written;
                recordRevision++;
                clock.schedule(STORE_MILLIS, this::publishRecord);
            }
        });
    }

    boolean refusesConnections(EndpointEntry entry) {
        return !endpoints.get(entry.key()).isUp();
    }

    void sent(PartReplayCall call, PartReplayHost host, EndpointEntry entry) {
        boolean inTouch = seconds() >= outOfTouchUntilSeconds.getOrDefault(host.id(), 0.0);
        figures.sent(call, entry.softwareVersion(), seconds(), inTouch);
    }

    void deliver(EndpointEntry entry, PartReplayEndpoint.Run run) {
        endpoints.get(entry.key()).receive(run);
    }

    /** Returns what callers and endpoints see. */
    PartReplayFigures figures() {
        return figures;
    }

    /** Returns the parts that any host blocks now, those of blocks with several parts joined. */
    Set<String> blockedParts() {
        Set<String> names = new HashSet<>();
        for (PartReplayHost host : hosts.values()) {
            host.quarantine()
                    .toRecord(0, 0)
                    .blocks()
                    .forEach(block -> names.add(PartReplayFigures.name(block.parts())));
        }
        return names;
    }

    long messages() {
        return messages;
    }

    /** Returns the requests whose part is among the given ones and crashes a software version now. */
    private Optional<PartScenario.Crashing> crashing(String version, Set<String> parts) {
        return scenario.crashing().stream()
                .filter(requests -> parts.contains(requests.part())
                        && requests.versions().contains(version)
                        && seconds() >= requests.fromSeconds())
                .findFirst();
    }

    // Load

    private void sendSound() {
        String first = "f" + (int) (PartScenario.FIRST_PARTS * Math.pow(random.nextDouble(), 2));
        String subject = subject();
        String own = "o" + figures.callCount();
        arrive(new PartReplayCall(own, own, List.of(first, subject, own), runMillis(), Optional.empty(), seconds()));
        clock.schedule(-1000 / scenario.soundPerSecond() * Math.log(1 - random.nextDouble()), this::sendSound);
    }

    private String subject() {
        return "s" + random.nextInt(scenario.subjects());
    }

    private void sendCrashing(PartScenario.Crashing requests, List<String> bodies) {
        if (seconds() >= requests.untilSeconds()) {
            return;
        }
        String id = "c" + figures.callCount();
        boolean repeats = !bodies.isEmpty() && random.nextDouble() < requests.repeatShare();
        String body = repeats ? bodies.get(random.nextInt(bodies.size())) : id;
        bodies.add(body);
        List<String> parts = new ArrayList<>();
        for (String part : requests.prompt().split(" ")) {
            parts.add(part.equals("*") ? requests.part() : part.equals("?") ? subject() : part);
        }
        parts.add("own-" + body);
        arrive(new PartReplayCall(id, body, parts, runMillis(), Optional.of(requests), seconds()));
        clock.schedule(
                -1000 / requests.perSecond() * Math.log(1 - random.nextDouble()), () -> sendCrashing(requests, bodies));
    }

    private void arrive(PartReplayCall call) {
        figures.arrived(call);
        List<PartReplayHost> up = hosts.values().stream()
                .filter(host -> !downSinceSeconds.containsKey(host.id()))
                .toList();
        if (!up.isEmpty()) {
            up.get(random.nextInt(up.size())).receive(call, route);
        }
    }

    private double runMillis() {
        return MIN_RUN_MILLIS + MORE_RUN_MILLIS * random.nextDouble();
    }

    // World

    private double seconds() {
        return (clock.nowNanos() - 1_000_000_000_000L) / 1e9;
    }

    private PartReplayHost host(int number) {
        return hosts.get(new HostId("h" + number));
    }

    private void startHost(HostId id) {
        Host self = new Host(id, Role.GATEWAY, new AvailabilityZone("a"), new Address("10.0.0.1", 1), false);
        PartReplayHost host = new PartReplayHost(clock, this, self, new Random(random.nextLong()));
        hosts.put(id, host);
        host.updateDirectory(directory.values());
        clock.schedule(STORE_MILLIS, () -> host.recordRead(record, recordRevision));
    }

    private void startEndpoint(String version) {
        String name = "e" + started++;
        EndpointEntry entry = new EndpointEntry(
                name,
                1,
                PartScenario.SERVICE,
                version,
                new Address("10.1.0.1", 1000 + started),
                new AvailabilityZone("a"),
                scenario.slots(),
                false,
                0);
        endpoints.put(entry.key(), new PartReplayEndpoint(clock, entry, this::crashing, part -> {
            figures.crashed(part, seconds());
            restartLater(entry);
        }));
        directory.put(entry.key(), entry);
    }

    private void restartLater(EndpointEntry entry) {
        clock.schedule(LAPSE_MILLIS, () -> {
            directory.remove(entry.key());
            publishDirectory();
        });
        clock.schedule(DOWN_MILLIS, () -> {
            startEndpoint(entry.softwareVersion());
            clock.schedule(DIRECTORY_MILLIS, this::publishDirectory);
        });
    }

    private void publishDirectory() {
        Collection<EndpointEntry> entries = List.copyOf(directory.values());
        hosts.values().stream()
                .filter(host -> !cutOff.contains(host.id()))
                .forEach(host -> host.updateDirectory(entries));
    }

    private void publishRecord() {
        hosts.values().stream()
                .filter(host -> !cutOff.contains(host.id()))
                .forEach(host -> host.recordRead(record, recordRevision));
    }
}
