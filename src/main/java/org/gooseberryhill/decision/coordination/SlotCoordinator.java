package org.gooseberryhill.decision.coordination;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.gooseberryhill.decision.dispatch.Admission;
import org.gooseberryhill.decision.dispatch.AttemptEnd;
import org.gooseberryhill.decision.dispatch.AttemptTiming;
import org.gooseberryhill.decision.dispatch.Fleet;
import org.gooseberryhill.decision.dispatch.FleetEndpoint;
import org.gooseberryhill.decision.dispatch.InFlight;
import org.gooseberryhill.decision.dispatch.PlacementAnswer;
import org.gooseberryhill.decision.dispatch.PlacementQuery;
import org.gooseberryhill.decision.dispatch.RelativeDurations;
import org.gooseberryhill.decision.dispatch.RequestPlacer;
import org.gooseberryhill.decision.quota.QuotaPolicy;
import org.gooseberryhill.decision.share.AccountShares;
import org.gooseberryhill.decision.share.ArrivalOrder;
import org.gooseberryhill.decision.share.ShareCase;
import org.gooseberryhill.decision.share.WaitAllowance;
import org.gooseberryhill.decision.zone.AnyZone;
import org.gooseberryhill.decision.zone.FullGroup;
import org.gooseberryhill.decision.zone.ZonePolicy;
import org.gooseberryhill.directory.EndpointEntry;
import org.gooseberryhill.directory.EndpointGroup;
import org.gooseberryhill.directory.EndpointGroups;
import org.gooseberryhill.directory.EndpointKey;
import org.gooseberryhill.host.HostId;

/**
 * Assigns the slots of the groups of endpoints that one host coordinates: to online requests at once, to items of request
 * batches as far as online requests leave slots free. Not thread-safe.
 *
 * <p>Load pattern: many hosts send requests to the same endpoints, and the load swings between a fifth of the slots and all
 * of them within a second. Hosts that decide by reports of each other start items in the same slot and stop more of them
 * than a request needs; with one count nothing crosses.
 *
 * <p>Invariants: a slot is assigned to one request at a time, except while hosts choose endpoints themselves because the
 * coordinator did not answer; an item gets a slot only while none that online requests are likely to need soon is taken.
 * Nothing but the load of endpoints depends on a coordinator: a request that was not assigned is served all the same.
 */
public final class SlotCoordinator {
    /** A grant reaches its owner, and the owner's answer comes back, within some round trips. */
    private static final long GRANT_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Hosts report each second, so an assignment that two reports do not contain never reached its host. */
    private static final long MAX_RESERVATION_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(2000);

    private final RequestPlacer placer;
    private final SlotReserve reserve;
    private final QuotaPolicy quotas;
    private final ZonePolicy zones;
    private final Reservations reservations;
    private final Fleet ledger = new Fleet();
    private final ItemOrder order;
    private final BatchRuns runs;
    private final Map<String, WaitingQueue> waitingByService = new HashMap<>();
    private final GroupLoads otherLoads = new GroupLoads();
    private final List<CoordinatorCommand> commands = new ArrayList<>();
    private EndpointGroups groups = EndpointGroups.NONE;
    private AccountShares shares = new ArrivalOrder();

    /**
     * Creates a coordinator that knows no endpoints.
     *
     * @param quotas decides whether the quota of a client account allows a request
     * @param firstReservation lower bound of the numbers of its reservations; greater than those of an earlier process of
     *     the same host
     */
    public SlotCoordinator(
            RequestPlacer placer, SlotReserve reserve, QuotaPolicy quotas, ItemOrder order, long firstReservation) {
        this(placer, reserve, quotas, order, new AnyZone(), firstReservation);
    }

    /**
     * Creates a coordinator that knows no endpoints.
     *
     * @param quotas decides whether the quota of a client account allows a request
     * @param zones decides which group gets a request that finds no free slot
     * @param firstReservation lower bound of the numbers of its reservations; greater than those of an earlier process of
     *     the same host
     */
    public SlotCoordinator(
            RequestPlacer placer,
            SlotReserve reserve,
            QuotaPolicy quotas,
            ItemOrder order,
            ZonePolicy zones,
            long firstReservation) {
        this.placer = placer;
        this.reserve = reserve;
        this.quotas = quotas;
        this.order = order;
        this.zones = zones;
        this.runs = new BatchRuns(order);
        this.reservations = new Reservations(firstReservation);
    }

    /** Replaces the directory. */
    public void updateDirectory(EndpointGroups newGroups, Collection<EndpointEntry> entries) {
        groups = newGroups;
        ledger.updateDirectory(entries);
    }

    /** Chooses an endpoint of a group for a request of a host; a placed request counts as in flight at once. */
    public PlacementReply place(HostId host, EndpointGroup group, PlacementQuery query, long nowNanos) {
        List<FleetEndpoint> usable = usableMembers(group, nowNanos);
        Optional<FleetEndpoint> chosen = placer.choose(usable, query, nowNanos);
        if (chosen.isEmpty()) {
            return PlacementReply.of(otherGroup(group, query, Double.POSITIVE_INFINITY, 1, nowNanos)
                    .<PlacementAnswer>map(PlacementAnswer.Elsewhere::new)
                    .orElseGet(PlacementAnswer.NoEndpoint::new));
        }
        FleetEndpoint endpoint = chosen.get();
        Optional<ShareCase> share =
                shares.isActive() ? Optional.of(shareCase(query, usable, nowNanos)) : Optional.empty();
        WaitAllowance allowance = share.map(shares::allow).orElse(WaitAllowance.WHOLE);
        boolean hasRoom = endpoint.online() < endpoint.entry().slots()
                && allowance.excess().isEmpty();
        if (!hasRoom) {
            double waitMillis = placer.facts(endpoint, usable.size(), nowNanos).waitMillis();
            Optional<EndpointGroup> other =
                    otherGroup(group, query, waitMillis, allowance.roomFluctuations(), nowNanos);
            if (other.isPresent()) {
                return PlacementReply.of(new PlacementAnswer.Elsewhere(other.get()));
            }
        }
        if (query.refusable()) {
            Optional<PlacementAnswer.Overloaded> overloaded =
                    placer.refuseOverloaded(endpoint, usable, 1, query, allowance, nowNanos);
            if (overloaded.isPresent()) {
                share.ifPresent(request -> shares.refused(request, allowance));
                return PlacementReply.of(overloaded.get());
            }
        }
        Optional<Long> overQuota = query.account().flatMap(account -> quotas.admit(account, nowNanos));
        if (overQuota.isPresent()) {
            return PlacementReply.of(new PlacementAnswer.OverQuota(overQuota.get()));
        }
        PlacementAnswer answer =
                new PlacementAnswer.Placed(endpoint.key(), placer.facts(endpoint, usable.size(), nowNanos));
        query.prompt().ifPresent(prompt -> placer.requestPlaced(endpoint.key(), prompt));
        share.ifPresent(request -> shares.placed(request, allowance));
        ledger.addOnline(host, endpoint.key(), 1, nowNanos);
        yieldExcess(endpoint);
        return new PlacementReply(reservations.add(host, endpoint.key(), false, nowNanos), answer);
    }

    /** Replaces what decides on requests by the account that sent them; at first, all are treated alike. */
    public void shareBy(AccountShares newShares) {
        shares = newShares;
    }

    /** Returns what decides on requests by the account that sent them. */
    public AccountShares shares() {
        return shares;
    }

    /** Decides whether a request may run that a host places itself, and counts it if so. */
    public Admission admit(String account, long nowNanos) {
        return new Admission(quotas.admit(account, nowNanos));
    }

    /** Returns the group that is to be asked for a request in place of one without a free slot; empty if it stays. */
    private Optional<EndpointGroup> otherGroup(
            EndpointGroup group, PlacementQuery query, double waitMillis, double roomFluctuations, long nowNanos) {
        return query.redirectable()
                ? zones.chooseGroup(
                        new FullGroup(group, groups, waitMillis),
                        candidates -> otherLoads.takeRoom(candidates, group, roomFluctuations, nowNanos),
                        nowNanos)
                : Optional.empty();
    }

    /** Returns what decides whether the quota of a client account allows a request. */
    public QuotaPolicy quotas() {
        return quotas;
    }

    /** Records a request that a host sent to an endpoint without asking. */
    public void onlineStarted(HostId host, EndpointKey endpoint, long nowNanos) {
        ledger.addOnline(host, endpoint, 1, nowNanos);
    }

    /**
     * Records the end of an online request of a host, or that a host did not use an assignment.
     *
     * @param timing how long the request was in flight
     */
    public void onlineEnded(HostId host, EndpointKey endpoint, AttemptEnd end, AttemptTiming timing, long nowNanos) {
        ledger.addOnline(host, endpoint, -1, nowNanos);
        recordHealth(endpoint, end, nowNanos);
        if (end == AttemptEnd.ANSWERED) {
            ledger.find(endpoint)
                    .ifPresent(found -> placer.requestAnswered(found.entry().service(), endpoint, timing, nowNanos));
        }
    }

    /** Records the start of a run of an item. */
    public void itemStarted(HostId owner, ItemStart start, long nowNanos) {
        boolean granted = reservations.remove(owner, start.reservation()).isPresent();
        if (!granted) {
            ledger.addBatch(owner, start.endpoint(), 1, nowNanos);
        }
        runs.add(owner, start);
        ledger.find(start.endpoint()).ifPresent(this::yieldExcess);
    }

    /** Records the end of a run of an item. */
    public void itemEnded(HostId owner, long number, AttemptEnd end, long nowNanos) {
        runs.remove(owner, number).ifPresent(endpoint -> {
            ledger.addBatch(owner, endpoint, -1, nowNanos);
            recordHealth(endpoint, end, nowNanos);
        });
    }

    /** Records that a host has no item for a grant. */
    public void grantReturned(HostId owner, long reservation, long nowNanos) {
        reservations
                .remove(owner, reservation)
                .ifPresent(grant -> ledger.addBatch(owner, grant.endpoint(), -1, nowNanos));
    }

    /** Replaces what is known of the work of a host. */
    public void report(HostId host, HostWork work, long nowNanos) {
        Map<EndpointKey, InFlight> inFlight = new HashMap<>();
        work.online().forEach((endpoint, count) -> add(inFlight, endpoint, count, 0));
        work.items().forEach(start -> add(inFlight, start.endpoint(), 0, 1));
        reservations
                .retainAfter(host, work.lastReservation(), MAX_RESERVATION_AGE_NANOS, nowNanos)
                .forEach(made -> add(inFlight, made.endpoint(), made.batch() ? 0 : 1, made.batch() ? 1 : 0));
        ledger.updateReport(host, inFlight, nowNanos);
        runs.replace(host, work.items());
        inFlight.keySet().forEach(endpoint -> ledger.find(endpoint).ifPresent(this::yieldExcess));
    }

    /** Replaces the waiting items of a host. */
    public void itemsWaiting(HostId owner, WaitingItems items, long nowNanos) {
        int grantsInTransit = reservations.grantsAfter(owner, items.lastReservation());
        waitingByService
                .computeIfAbsent(items.service(), service -> new WaitingQueue(order))
                .replace(owner, items, grantsInTransit, nowNanos);
    }

    /** Records the load of groups that another host coordinates. */
    public void groupLoads(Collection<GroupLoad> loads, long nowNanos) {
        otherLoads.update(loads, nowNanos);
    }

    /** Removes a lost host: none of its requests count any longer, and it gets no grants. */
    public void removeHost(HostId host) {
        ledger.removeReport(host);
        reservations.removeHost(host);
        runs.replace(host, List.of());
        waitingByService.values().forEach(waiting -> waiting.remove(host));
    }

    /**
     * Assigns free slots to waiting items and returns what their owners have to do.
     *
     * @param coordinated tells which groups this host coordinates at present
     */
    public List<CoordinatorCommand> assign(Predicate<EndpointGroup> coordinated, long nowNanos) {
        reservations
                .takeExpiredGrants(GRANT_TIMEOUT_NANOS, nowNanos)
                .forEach((host, expired) ->
                        expired.forEach(grant -> ledger.addBatch(host, grant.endpoint(), -1, nowNanos)));
        waitingByService.forEach((service, waiting) ->
                groups.of(service).stream().filter(coordinated).forEach(group -> grantSlots(group, waiting, nowNanos)));
        List<CoordinatorCommand> due = List.copyOf(commands);
        commands.clear();
        return due;
    }

    /**
     * Samples the load of all groups and returns that of the groups that this host coordinates. Called ten times a second.
     *
     * @param coordinated tells which groups this host coordinates at present
     */
    public List<GroupLoad> sampleLoads(Predicate<EndpointGroup> coordinated, long nowNanos) {
        List<GroupLoad> loads = new ArrayList<>();
        groups.all().stream().filter(coordinated).forEach(group -> loads.add(load(group, nowNanos)));
        otherLoads.update(loads, nowNanos);
        waitingByService.forEach((service, waiting) -> waiting.sampleFreeSlots(
                groups.of(service).stream()
                        .flatMap(group -> otherLoads.find(group, nowNanos).stream())
                        .mapToInt(GroupLoad::freeSlots)
                        .sum(),
                nowNanos));
        return loads;
    }

    /** Returns the load of a group as its coordinator has told it lately; empty if it is not known. */
    Optional<GroupLoad> knownLoad(EndpointGroup group, long nowNanos) {
        return otherLoads.find(group, nowNanos);
    }

    private static ShareCase shareCase(PlacementQuery query, List<FleetEndpoint> usable, long nowNanos) {
        int slots = slots(usable);
        int taken = usable.stream()
                .mapToInt(
                        endpoint -> Math.min(endpoint.online(), endpoint.entry().slots()))
                .sum();
        return new ShareCase(query.service(), query.sender(), slots - taken, slots, query.remainingMillis(), nowNanos);
    }

    /** Returns the load of a group that this host coordinates. */
    GroupLoad load(EndpointGroup group, long nowNanos) {
        List<FleetEndpoint> usable = usableMembers(group, nowNanos);
        return new GroupLoad(group, slots(usable), online(usable));
    }

    private void grantSlots(EndpointGroup group, WaitingQueue waiting, long nowNanos) {
        Optional<WaitingQueue.Candidate> next = waiting.first(nowNanos);
        if (next.isEmpty()) {
            return;
        }
        List<FleetEndpoint> usable = usableMembers(group, nowNanos);
        int reserved = reserve.reservedSlots(slots(usable), online(usable));
        int free = usable.stream()
                .mapToInt(endpoint -> Math.max(0, endpoint.freeSlots()))
                .sum();
        RelativeDurations durations = placer.relativeDurations(group.service(), nowNanos);
        while (next.isPresent() && free > reserved) {
            FleetEndpoint endpoint = ItemPlacement.choose(usable, durations);
            grant(next.get().owner(), endpoint, waiting.pressure(), nowNanos);
            waiting.takeFirst(next.get().owner());
            free--;
            next = waiting.first(nowNanos);
        }
    }

    private void grant(HostId owner, FleetEndpoint endpoint, double pressure, long nowNanos) {
        ledger.addBatch(owner, endpoint.key(), 1, nowNanos);
        long reservation = reservations.add(owner, endpoint.key(), true, nowNanos);
        commands.add(new CoordinatorCommand.Grant(owner, reservation, endpoint.key(), pressure));
    }

    /** Lets items yield at an endpoint that has more requests in flight than slots. */
    private void yieldExcess(FleetEndpoint endpoint) {
        int excess = -endpoint.freeSlots() - runs.yieldingCount(endpoint.key());
        if (excess <= 0) {
            return;
        }
        Map<HostId, List<Long>> yielding = new HashMap<>();
        double pressure = Optional.ofNullable(
                        waitingByService.get(endpoint.entry().service()))
                .map(WaitingQueue::pressure)
                .orElse(0.0);
        runs.chooseToYield(endpoint.key(), excess, pressure)
                .forEach(run -> yielding.computeIfAbsent(run.owner(), owner -> new ArrayList<>())
                        .add(run.number()));
        yielding.forEach((owner, numbers) -> commands.add(new CoordinatorCommand.Yield(owner, numbers)));
    }

    private List<FleetEndpoint> usableMembers(EndpointGroup group, long nowNanos) {
        List<FleetEndpoint> usable = new ArrayList<>();
        for (EndpointEntry member : groups.members(group)) {
            ledger.find(member.key())
                    .filter(endpoint -> endpoint.isUsable(nowNanos))
                    .ifPresent(usable::add);
        }
        return usable;
    }

    /** A host that does not reach an endpoint may be cut off from it alone, so that is one failure among others here. */
    private void recordHealth(EndpointKey endpoint, AttemptEnd end, long nowNanos) {
        boolean onlyThere = end == AttemptEnd.UNREACHABLE || end == AttemptEnd.OTHER_ENDPOINT;
        ledger.attemptEnded(endpoint, onlyThere ? AttemptEnd.CUT : end, nowNanos);
    }

    private static void add(Map<EndpointKey, InFlight> inFlight, EndpointKey endpoint, int online, int batch) {
        InFlight before = inFlight.getOrDefault(endpoint, InFlight.NONE);
        inFlight.put(endpoint, new InFlight(before.online() + online, before.batch() + batch));
    }

    private static int slots(List<FleetEndpoint> endpoints) {
        return endpoints.stream().mapToInt(endpoint -> endpoint.entry().slots()).sum();
    }

    private static int online(List<FleetEndpoint> endpoints) {
        return endpoints.stream().mapToInt(FleetEndpoint::online).sum();
    }
}
