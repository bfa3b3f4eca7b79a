package org.gooseberryhill.decision.dispatch;

import io.vavr.Lazy;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.account.Caller;
import org.gooseberryhill.contract.Fingerprint;
import org.gooseberryhill.contract.Prompt;
import org.gooseberryhill.decision.promptpart.PromptPartQuarantine;
import org.gooseberryhill.decision.quarantine.CrashSuspects;
import org.gooseberryhill.directory.EndpointEntry;
import org.gooseberryhill.directory.EndpointKey;
import org.gooseberryhill.directory.ServiceVersion;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.link.Address;
import org.gooseberryhill.route.Route;
import org.gooseberryhill.route.RouteKind;
import org.gooseberryhill.route.RouteTarget;
import org.gooseberryhill.zone.AvailabilityZone;

/** Runs the dispatch core of one host over the endpoints of one service in virtual time. */
final class DispatchFixture {
    static final String SERVICE = "s";
    static final AvailabilityZone ZONE = new AvailabilityZone("a");
    static final int SLOTS = 8;

    final Set<Address> connected = new HashSet<>();
    final Fleet fleet = new Fleet();
    final CrashSuspects suspects = new CrashSuspects(60_000, 100);
    final PromptPartQuarantine parts = new PromptPartQuarantine();
    final DispatchCore core;
    long nowNanos = TimeUnit.SECONDS.toNanos(100);
    private int requests;

    DispatchFixture(int endpoints) {
        this(endpoints, DispatchPolicies.defaults(new Random(1)));
    }

    DispatchFixture(int endpoints, DispatchPolicies policies) {
        this(endpoints, policies, GroupSelector.NONE);
    }

    DispatchFixture(int endpoints, GroupSelector groups) {
        this(endpoints, DispatchPolicies.defaults(new Random(1)), groups);
    }

    private DispatchFixture(int endpoints, DispatchPolicies policies, GroupSelector groups) {
        core = new DispatchCore(
                ZONE, policies, fleet, groups, entry -> connected.contains(entry.address()), suspects, parts);
        List<EndpointEntry> entries = new ArrayList<>();
        for (int i = 0; i < endpoints; i++) {
            entries.add(entry("e" + i, 1, false));
        }
        fleet.updateDirectory(entries);
    }

    static EndpointEntry entry(String id, long startedAtMillis, boolean leaving) {
        return entry(id, startedAtMillis, leaving, "v1");
    }

    static EndpointEntry entry(String id, long startedAtMillis, boolean leaving, String softwareVersion) {
        return new EndpointEntry(id, startedAtMillis, SERVICE, softwareVersion, address(id), ZONE, SLOTS, leaving, 0);
    }

    static Address address(String id) {
        return new Address("10.0.0.1", 8000 + Integer.parseInt(id.substring(1)));
    }

    static Route route(RouteKind kind, boolean resumable, int maxAttempts) {
        return new Route(
                "r",
                "h",
                "/p/",
                kind,
                List.of(new RouteTarget(SERVICE, 1)),
                5000,
                300,
                maxAttempts,
                0,
                resumable,
                true,
                200,
                0,
                0,
                false);
    }

    RoutedRequest arrive(Route route) {
        return arrive(route, Optional.empty());
    }

    RoutedRequest arrive(Route route, Optional<Prompt> prompt) {
        return arrive(route, prompt, Caller.UNATTRIBUTED);
    }

    /** A request that takes up a stream. */
    RoutedRequest arrive(Route route, ServiceVersion beganAt) {
        return arrive(route, Optional.empty(), Caller.UNATTRIBUTED, Optional.of(beganAt));
    }

    RoutedRequest arrive(Route route, Optional<Prompt> prompt, Caller caller) {
        return arrive(route, prompt, caller, Optional.empty());
    }

    private RoutedRequest arrive(
            Route route, Optional<Prompt> prompt, Caller caller, Optional<ServiceVersion> beganAt) {
        String id = "q" + requests++;
        return core.newRequest(new RoutedRequestInfo(
                id,
                route,
                SERVICE,
                caller,
                prompt,
                beganAt,
                Lazy.of(() -> Fingerprint.of("s", id.getBytes(StandardCharsets.UTF_8))),
                nowNanos,
                nowNanos + TimeUnit.MILLISECONDS.toNanos(5000)));
    }

    /** Applies a report of another host on its requests in flight. */
    void reported(Map<EndpointKey, InFlight> inFlight) {
        fleet.updateReport(new HostId("other"), inFlight, nowNanos);
    }

    DispatchDecision dispatch(RoutedRequest request) {
        return core.dispatch(request, nowNanos);
    }

    DispatchDecision failed(RoutedRequest request, AttemptEnd end) {
        return core.attemptFailed(request, end, nowNanos);
    }

    void advanceMillis(long millis) {
        nowNanos += TimeUnit.MILLISECONDS.toNanos(millis);
    }

    FleetEndpoint endpoint(String id) {
        return fleet.find(new EndpointKey(id, 1)).orElseThrow();
    }

    static EndpointKey key(String id) {
        return new EndpointKey(id, 1);
    }
}
