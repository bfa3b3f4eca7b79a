package org.gooseberryhill.decision.dispatch;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.gooseberryhill.contract.ErrorCode;
import org.gooseberryhill.contract.Refusal;
import org.gooseberryhill.decision.promptpart.PartVerdict;
import org.gooseberryhill.decision.promptpart.PartVerdict.Kind;
import org.gooseberryhill.decision.promptpart.PermitAnswer;
import org.gooseberryhill.decision.promptpart.PromptPartQuarantine;
import org.gooseberryhill.decision.quarantine.CrashSuspects;
import org.gooseberryhill.directory.EndpointEntry;
import org.gooseberryhill.directory.EndpointGroup;
import org.gooseberryhill.directory.EndpointKey;
import org.gooseberryhill.zone.AvailabilityZone;

/**
 * Decides where and how often the routed requests of one host are sent, and when they are refused. Not thread-safe.
 *
 * <p>Invariants: each accepted request is finished exactly once; the call that gives a request up also returns its
 * refusal, never a later call; a request that may not be repeated is sent again only while it has certainly not run;
 * the number of endpoints that may have run a request does not exceed the limit of its route; a stream that has begun
 * continues only at endpoints of the version that began it.
 */
public final class DispatchCore {
    /**
     * Delay before another choice of endpoint for a request that waits: about the time that a batch item takes to
     * yield.
     */
    private static final long FULL_SERVICE_WAIT_MILLIS = 50;

    /** Longest wait for an endpoint of the version that began a stream: one that has crashed is back later. */
    private static final long MAX_VERSION_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(1000);

    /** Longest wait of a request that was sent before for a permit to run again: about the time of a run. */
    private static final long MAX_PERMIT_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(1000);

    /** Bounds the size of a message; more endpoints than suspects run at a time. */
    private static final int MAX_PERMIT_ENDPOINTS = 16;

    private final AvailabilityZone zone;
    private final RequestPlacer placer;
    private final Fleet fleet;
    private final GroupSelector groups;
    private final Predicate<EndpointEntry> connections;
    private final QuarantineGate gate;
    private final AttemptLimits limits;

    /**
     * Creates a core for the endpoints that its host knows.
     *
     * @param groups selects the coordinators that are asked for endpoints
     * @param connections tells whether the host keeps an idle connection to an endpoint
     */
    public DispatchCore(
            AvailabilityZone zone,
            DispatchPolicies policies,
            Fleet fleet,
            GroupSelector groups,
            Predicate<EndpointEntry> connections,
            CrashSuspects suspects,
            PromptPartQuarantine promptParts) {
        this.zone = zone;
        this.placer = new RequestPlacer(policies);
        this.fleet = fleet;
        this.groups = groups;
        this.connections = connections;
        this.gate = new QuarantineGate(suspects, promptParts, fleet);
        this.limits = new AttemptLimits(gate);
    }

    /**
     * Creates a request that has arrived. It must end with a {@link DispatchDecision.Refuse}, {@link #attemptSucceeded}
     * or {@link #abandoned}.
     */
    public RoutedRequest newRequest(RoutedRequestInfo requestInfo) {
        return new RoutedRequest(requestInfo);
    }

    /** Decides the first action for a request that has arrived. */
    public DispatchDecision dispatch(RoutedRequest request, long nowNanos) {
        Optional<Refusal> quarantined = gate.refuse(request, nowNanos);
        if (quarantined.isPresent()) {
            return new DispatchDecision.Refuse(quarantined.get());
        }
        if (request.remainingMillis(nowNanos) < AttemptLimits.MIN_REMAINING_MILLIS) {
            return new DispatchDecision.Refuse(DispatchRefusals.of(
                    request, ErrorCode.DEADLINE_EXCEEDED, "the request's time was over before it could be sent"));
        }
        return place(request, nowNanos);
    }

    /** Decides the next action after the coordinator of a group has answered {@link DispatchDecision.AskGroup}. */
    public DispatchDecision placementAnswered(RoutedRequest request, PlacementAnswer answer, long nowNanos) {
        if (answer instanceof PlacementAnswer.Placed placed) {
            request.admitted();
            if (gate.hasChanged(request, nowNanos)) {
                return place(request, nowNanos);
            }
            Optional<FleetEndpoint> endpoint = fleet.find(placed.endpoint())
                    .filter(found -> found.isUsable(nowNanos) && request.maySendTo(found.entry()));
            if (endpoint.isPresent()) {
                return send(request, endpoint.get(), placed.facts(), true, nowNanos);
            }
        } else if (answer instanceof PlacementAnswer.Overloaded overloaded && request.isRefusable()) {
            return new DispatchDecision.Refuse(
                    DispatchRefusals.overloaded(overloaded.retryAfterMillis()), Optional.of(overloaded.facts()));
        } else if (answer instanceof PlacementAnswer.OverQuota overQuota) {
            return new DispatchDecision.Refuse(DispatchRefusals.overQuota(request, overQuota.retryAfterMillis()));
        } else if (answer instanceof PlacementAnswer.Elsewhere elsewhere && request.groupAsked(elsewhere.group())) {
            request.redirected();
            return ask(request, elsewhere.group(), nowNanos);
        } else if (answer instanceof PlacementAnswer.Elsewhere elsewhere
                && groups.followsZones(request.info().service())
                && request.redirectedBack()) {
            // The next group would be one of another zone, which has not granted room for the request.
            return ask(request, elsewhere.group(), nowNanos);
        }
        return placeWithoutAnswer(request, nowNanos);
    }

    /**
     * Decides the next action when the coordinator of a group does not answer: another group is asked, or the host chooses
     * an endpoint by what it knows itself.
     */
    public DispatchDecision placeWithoutAnswer(RoutedRequest request, long nowNanos) {
        Optional<EndpointGroup> next = nextGroup(request, nowNanos);
        if (next.isPresent() && request.groupAsked(next.get())) {
            return ask(request, next.get(), nowNanos);
        }
        return placeLocally(request, nowNanos);
    }

    /** Records an attempt that ended without the whole answer, and decides what follows. */
    public DispatchDecision attemptFailed(RoutedRequest request, AttemptEnd end, long nowNanos) {
        attemptEnded(request, end, nowNanos);
        return decideAfterFailure(request, end, nowNanos);
    }

    /** Records an attempt that ended without the whole answer; {@link #decideAfterFailure} decides what follows. */
    public void failureRecorded(RoutedRequest request, AttemptEnd end, long nowNanos) {
        attemptEnded(request, end, nowNanos);
    }

    /** Decides what follows the latest attempt, which ended without the whole answer: another endpoint, a wait or a refusal. */
    public DispatchDecision decideAfterFailure(RoutedRequest request, AttemptEnd end, long nowNanos) {
        Optional<Refusal> refusal = limits.refuse(request, request.progress(), end, nowNanos);
        if (refusal.isPresent()) {
            return new DispatchDecision.Refuse(refusal.get());
        }
        return place(request, nowNanos);
    }

    /**
     * Returns whether a request whose endpoint is silent can continue at another endpoint: {@link #attemptFailed} with
     * {@link AttemptEnd#SILENT} would send it at this moment. False while no endpoint has the request.
     */
    public boolean canFailOver(RoutedRequest request, long nowNanos) {
        if (request.endpoint().isEmpty()) {
            return false;
        }
        RequestProgress afterSilence = request.progress().after(AttemptEnd.SILENT);
        return limits.refuse(request, afterSilence, AttemptEnd.SILENT, nowNanos).isEmpty()
                && hasUntriedEndpoint(request, nowNanos);
    }

    /** Decides the next action after the delay of a {@link DispatchDecision.Wait} has passed. */
    public DispatchDecision dispatchAfterWait(RoutedRequest request, long nowNanos) {
        if (request.remainingMillis(nowNanos) < AttemptLimits.MIN_REMAINING_MILLIS) {
            return new DispatchDecision.Refuse(DispatchRefusals.of(
                    request, ErrorCode.DEADLINE_EXCEEDED, "no time is left for the rest of the answer"));
        }
        return place(request, nowNanos);
    }

    private DispatchDecision place(RoutedRequest request, long nowNanos) {
        request.placementStarted();
        PartVerdict verdict = gate.restrict(request, nowNanos);
        if (verdict.kind() == Kind.BLOCKED) {
            return new DispatchDecision.Refuse(DispatchRefusals.blockedPart(request, verdict.retryAfterMillis()));
        }
        if (QuarantineGate.needsPermit(request, verdict.kind())) {
            return askPermit(request, verdict, nowNanos);
        }
        return placeWithoutAnswer(request, nowNanos);
    }

    private DispatchDecision askPermit(RoutedRequest request, PartVerdict verdict, long nowNanos) {
        List<EndpointKey> endpoints = fleet.usableEndpoints(request.info().service(), nowNanos).stream()
                .filter(endpoint -> request.maySendTo(endpoint.entry()))
                .sorted(Comparator.comparingInt(FleetEndpoint::freeSlots).reversed())
                .map(FleetEndpoint::key)
                .limit(MAX_PERMIT_ENDPOINTS)
                .toList();
        return endpoints.isEmpty()
                ? placeWithoutAnswer(request, nowNanos)
                : new DispatchDecision.AskPermit(verdict.parts(), verdict.kind() == Kind.CONFINED, endpoints);
    }

    /** Decides the next action after {@link DispatchDecision.AskPermit}. */
    public DispatchDecision permitAnswered(RoutedRequest request, PermitAnswer answer, long nowNanos) {
        answer.permit().ifPresent(request::permitted);
        Kind kind = gate.restrict(request, nowNanos).kind();
        if (kind == Kind.BLOCKED || !QuarantineGate.needsPermit(request, kind)) {
            return place(request, nowNanos);
        }
        if (kind == Kind.SUSPECT && !answer.answered()) {
            request.runUnpermitted();
            return placeWithoutAnswer(request, nowNanos);
        }
        if (!request.isRefusable() && request.waitForPermit(nowNanos) <= MAX_PERMIT_WAIT_NANOS) {
            return new DispatchDecision.Wait(FULL_SERVICE_WAIT_MILLIS);
        }
        return new DispatchDecision.Refuse(DispatchRefusals.noPermit(request));
    }

    /** Returns the group to ask next; for a stream that has begun, one with an endpoint of the version that began it. */
    private Optional<EndpointGroup> nextGroup(RoutedRequest request, long nowNanos) {
        Set<EndpointGroup> passedOver = new HashSet<>(request.askedGroups());
        Optional<EndpointGroup> next = groups.next(request.info().service(), passedOver, nowNanos);
        while (next.isPresent()
                && request.beganAt().isPresent()
                && groups.members(next.get()).stream().noneMatch(request::maySendTo)) {
            passedOver.add(next.get());
            next = groups.next(request.info().service(), passedOver, nowNanos);
        }
        return next;
    }

    private DispatchDecision ask(RoutedRequest request, EndpointGroup group, long nowNanos) {
        Set<EndpointKey> excluded = new HashSet<>(request.tried());
        Set<EndpointKey> connected = new HashSet<>();
        for (EndpointEntry member : groups.members(group)) {
            if (fleet.find(member.key())
                    .filter(found -> found.isUsable(nowNanos) && request.maySendTo(found.entry()))
                    .isEmpty()) {
                excluded.add(member.key());
            } else if (connections.test(member)) {
                connected.add(member.key());
            }
        }
        return new DispatchDecision.AskGroup(group, query(request, excluded, connected, nowNanos));
    }

    /**
     * Decides the next action after {@link DispatchDecision.AskAdmission}.
     *
     * @param answer the answer; empty if nobody gave one in time
     */
    public DispatchDecision admissionAnswered(RoutedRequest request, Optional<Admission> answer, long nowNanos) {
        if (answer.isEmpty()) {
            return new DispatchDecision.Refuse(DispatchRefusals.unknownQuota(request));
        }
        if (answer.get().retryAfterMillis().isPresent()) {
            return new DispatchDecision.Refuse(DispatchRefusals.overQuota(
                    request, answer.get().retryAfterMillis().get()));
        }
        request.admitted();
        return gate.hasChanged(request, nowNanos) ? place(request, nowNanos) : placeLocally(request, nowNanos);
    }

    private DispatchDecision placeLocally(RoutedRequest request, long nowNanos) {
        Optional<String> account = request.quotaAccount();
        if (account.isPresent()) {
            return new DispatchDecision.AskAdmission(account.get());
        }
        List<FleetEndpoint> endpoints = fleet.endpointsOf(request.info().service()).stream()
                .filter(endpoint -> request.maySendTo(endpoint.entry()))
                .toList();
        PlacementQuery query = query(request, request.tried(), connected(endpoints), nowNanos);
        Optional<FleetEndpoint> chosen = placer.choose(endpoints, query, nowNanos);
        if (chosen.isEmpty()) {
            return refuseOrWait(request, nowNanos);
        }
        List<FleetEndpoint> usable = endpoints.stream()
                .filter(endpoint -> endpoint.isUsable(nowNanos))
                .toList();
        if (request.isRefusable()) {
            Optional<PlacementAnswer.Overloaded> overloaded =
                    placer.refuseOverloaded(chosen.get(), usable, fleet.hostCount(), query, nowNanos);
            if (overloaded.isPresent()) {
                return new DispatchDecision.Refuse(
                        DispatchRefusals.overloaded(overloaded.get().retryAfterMillis()),
                        Optional.of(overloaded.get().facts()));
            }
        }
        return send(request, chosen.get(), placer.facts(chosen.get(), usable.size(), nowNanos), false, nowNanos);
    }

    private DispatchDecision refuseOrWait(RoutedRequest request, long nowNanos) {
        if (mayRegainEndpoint(request, nowNanos)) {
            return new DispatchDecision.Wait(FULL_SERVICE_WAIT_MILLIS);
        }
        if (request.isRefusable()) {
            return new DispatchDecision.Refuse(
                    request.beganAt().isPresent()
                            ? DispatchRefusals.noEndpointOfVersion()
                            : DispatchRefusals.noEndpoint());
        }
        return request.mayWaitForEndpoint()
                ? new DispatchDecision.Wait(FULL_SERVICE_WAIT_MILLIS)
                : new DispatchDecision.Refuse(DispatchRefusals.noOtherEndpoint(request));
    }

    /**
     * Returns whether a stream that has begun waits for an endpoint of its version that is ejected or busy: unlike a new
     * request it can't go to the other endpoints.
     */
    private boolean mayRegainEndpoint(RoutedRequest request, long nowNanos) {
        return request.beganAt().isPresent()
                && fleet.endpointsOf(request.info().service()).stream()
                        .anyMatch(endpoint -> request.maySendTo(endpoint.entry())
                                && !endpoint.entry().leaving())
                && request.waitForVersion(nowNanos) <= MAX_VERSION_WAIT_NANOS;
    }

    /** Records that an attempt returned the whole answer. */
    public void attemptSucceeded(RoutedRequest request, long nowNanos) {
        AttemptTiming timing = AttemptTiming.ofDuration(request.attemptNanos(nowNanos));
        request.endpoint()
                .ifPresent(key -> placer.requestAnswered(request.info().service(), key, timing, nowNanos));
        attemptEnded(request, AttemptEnd.ANSWERED, nowNanos);
        gate.answered(request);
    }

    /** Ends a request whose caller disconnected or whose deadline passed. */
    public void abandoned(RoutedRequest request, long nowNanos) {
        attemptEnded(request, AttemptEnd.ABANDONED, nowNanos);
    }

    private void attemptEnded(RoutedRequest request, AttemptEnd end, long nowNanos) {
        request.endpoint().ifPresent(key -> {
            fleet.onlineEnded(key);
            fleet.attemptEnded(key, end, nowNanos);
            request.attemptEnded(end, nowNanos);
        });
    }

    private DispatchDecision send(
            RoutedRequest request, FleetEndpoint endpoint, PlacementFacts facts, boolean assigned, long nowNanos) {
        EndpointEntry entry = endpoint.entry();
        fleet.onlineStarted(entry.key());
        request.attemptStarted(entry, nowNanos);
        request.info().prompt().ifPresent(prompt -> placer.requestPlaced(entry.key(), prompt));
        return new DispatchDecision.Send(entry, facts, assigned);
    }

    /** Returns whether some endpoint neither has the request now nor was tried before. */
    private boolean hasUntriedEndpoint(RoutedRequest request, long nowNanos) {
        return fleet.usableEndpoints(request.info().service(), nowNanos).stream()
                .anyMatch(endpoint -> request.maySendTo(endpoint.entry())
                        && !request.endpoint().equals(Optional.of(endpoint.key())));
    }

    private Set<EndpointKey> connected(List<FleetEndpoint> endpoints) {
        Set<EndpointKey> connected = new HashSet<>();
        endpoints.stream()
                .filter(endpoint -> connections.test(endpoint.entry()))
                .forEach(endpoint -> connected.add(endpoint.key()));
        return connected;
    }

    private PlacementQuery query(
            RoutedRequest request, Set<EndpointKey> excluded, Set<EndpointKey> connected, long nowNanos) {
        return new PlacementQuery(
                request.info().service(),
                zone,
                request.info().prompt(),
                excluded,
                connected,
                request.info().route().targetLatencyMillis(),
                request.remainingMillis(nowNanos),
                request.isRefusable(),
                request.isRedirectable(),
                request.quotaAccount(),
                request.info().caller().accountName());
    }
}
