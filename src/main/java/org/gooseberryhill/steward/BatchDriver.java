package org.gooseberryhill.steward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.stream.Collectors;
import org.gooseberryhill.configuration.Configuration;
import org.gooseberryhill.configuration.EndpointSettings;
import org.gooseberryhill.configuration.ServiceSettings;
import org.gooseberryhill.decision.batch.EndpointBatch;
import org.gooseberryhill.decision.batch.LeastWorkLostOrder;
import org.gooseberryhill.decision.batch.RunningItem;
import org.gooseberryhill.decision.batch.WorkSources;
import org.gooseberryhill.decision.drain.LeavingEndpoints;
import org.gooseberryhill.decision.drain.LeavingSource;
import org.gooseberryhill.decision.drain.PlannedStop;
import org.gooseberryhill.decision.job.WorkItem;
import org.gooseberryhill.decision.ownership.Ownership;
import org.gooseberryhill.host.Host;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.host.Role;
import org.gooseberryhill.peer.PeerMessage;
import org.gooseberryhill.process.HostProcess;

/**
 * Runs batch items at the endpoints assigned to this host. Confined to the control thread.
 *
 * <p>Invariant: this host starts items only at endpoints that its view of the membership assigns to it. If an endpoint
 * temporarily has two stewards, this costs throughput but not correctness: an item's owner decides on its completion.
 */
final class BatchDriver {
    private static final long ITEM_REQUEST_PERIOD_MILLIS = 100;
    private static final int MAX_ITEMS_PER_REQUEST = 32;
    private static final long UNREACHABLE_PAUSE_MILLIS = 1000;

    private final HostProcess process;
    private final StewardSettings settings;
    private final Map<String, EndpointBatch> endpoints = new LinkedHashMap<>();
    private final Map<Long, ItemRun> runs = new HashMap<>();
    private final Set<ItemRun> unsettledRuns = new HashSet<>();
    private final WorkSources sources = new WorkSources();
    private final LeavingEndpoints leaving = new LeavingEndpoints();
    private final EndpointStatusReader statusReader;
    private long lastRunNumber;

    BatchDriver(HostProcess process, StewardSettings settings) {
        this.process = process;
        this.settings = settings;
        this.statusReader = new EndpointStatusReader(process, this::onStatusRead);
    }

    void start() {
        process.configuration().onChange(configuration -> updateAssignedEndpoints());
        process.onMembershipChange(this::updateAssignedEndpoints);
        process.onHostList(listing -> {
            leaving.replace(LeavingSource.HOST_LIST, listing.leavingEndpoints());
            updateLeavingEndpoints();
        });
        process.loop().every(ITEM_REQUEST_PERIOD_MILLIS, this::requestItems);
        process.loop().every(settings.statusPeriodMillis(), () -> statusReader.read(assignedEndpoints()));
    }

    /** Adds a listener for the statuses read from endpoints. */
    void addStatusListener(BiConsumer<EndpointSettings, EndpointStatus> listener) {
        statusReader.addListener(listener);
    }

    /** Returns the number of items in flight and of item reports that their owners have not acknowledged yet. */
    int itemsInProgress() {
        return unsettledRuns.size();
    }

    /** Removes a run whose report the owner has acknowledged, or for which no report will be sent any more. */
    void onRunSettled(ItemRun run) {
        unsettledRuns.remove(run);
    }

    /**
     * Returns the numbers of the hand-outs of a job's items, made under the claim with the given fencing token, that
     * are not settled on this host.
     */
    List<Long> heldHandouts(String job, long fence) {
        return unsettledRuns.stream()
                .map(ItemRun::item)
                .filter(item -> item.job().equals(job) && item.fence() == fence)
                .map(WorkItem::handout)
                .toList();
    }

    void onHeartbeatWork(HostId owner, Map<String, Long> earliestDueMillisByService) {
        sources.onHeartbeat(owner, earliestDueMillisByService);
    }

    void onWorkNotice(HostId owner, PeerMessage.WorkNotice notice) {
        sources.onNotice(owner, notice.service(), notice.earliestDueMillis());
        requestItems();
    }

    /** Handles an entry's load report; batch items that it leaves without a slot yield at once. */
    PeerMessage.EndpointLoads onOnlineLoad(HostId entry, PeerMessage.OnlineLoad load) {
        long now = process.loop().nowNanos();
        Map<String, Integer> online = new HashMap<>();
        Map<String, Integer> batch = new HashMap<>();
        List<String> leavingEndpoints = new ArrayList<>();
        Set<String> directlyObservedLeaving = leaving.directlyObserved();
        load.inFlight().forEach((name, inFlight) -> {
            EndpointBatch endpoint = endpoints.get(name);
            if (endpoint == null) {
                return;
            }
            boolean slow = load.slowEndpoints().contains(name);
            yieldItems(endpoint.onOnlineReport(entry, inFlight, slow, now));
            online.put(name, endpoint.onlineInFlight(now));
            batch.put(name, endpoint.running().size());
            if (directlyObservedLeaving.contains(name)) {
                leavingEndpoints.add(name);
            }
        });
        // Fills slots that online requests have just freed; the timer is only a fallback.
        requestItems();
        return new PeerMessage.EndpointLoads(online, batch, leavingEndpoints);
    }

    /** Ends the runs of a job's items at once and without a report, since the owner has stopped the job. */
    void cancelItems(String job, long fence) {
        List<ItemRun> cancelledRuns = runs.values().stream()
                .filter(run -> run.item().job().equals(job) && run.item().fence() == fence)
                .toList();
        cancelledRuns.forEach(ItemRun::discard);
    }

    /** Returns all items to their owners with the partial results so far. */
    void yieldAllItems() {
        List.copyOf(runs.values()).forEach(ItemRun::yield);
    }

    /** Handles the end of a run. An unreachable endpoint gets no items for {@link #UNREACHABLE_PAUSE_MILLIS}. */
    void onRunEnded(ItemRun run, boolean unreachable) {
        runs.remove(run.number());
        EndpointBatch endpoint = endpoints.get(run.endpoint().name());
        if (endpoint != null) {
            endpoint.recordEnd(run.number());
            if (unreachable) {
                endpoint.pause(UNREACHABLE_PAUSE_MILLIS, process.loop().nowNanos());
            }
        }
        requestItems();
    }

    private void yieldItems(List<RunningItem> items) {
        items.forEach(item -> Optional.ofNullable(runs.get(item.runNumber())).ifPresent(ItemRun::yield));
    }

    private void updateAssignedEndpoints() {
        Configuration configuration = process.configuration().current();
        List<Host> stewards = process.presentHosts(Role.STEWARD);
        Set<String> assignedNames = new HashSet<>();
        for (EndpointSettings endpoint : configuration.endpoints().values()) {
            ServiceSettings service = configuration.services().get(endpoint.service());
            boolean assigned = service.model().isPresent()
                    && Ownership.ownerOfEndpoint(endpoint.name(), endpoint.zone(), stewards)
                            .filter(process::isSelf)
                            .isPresent();
            if (assigned) {
                assignedNames.add(endpoint.name());
                endpoints
                        .computeIfAbsent(endpoint.name(), name -> newEndpoint(endpoint, service))
                        .configure(endpoint, service.batchWeightPercent());
            }
        }
        endpoints.keySet().retainAll(assignedNames);
        Set<HostId> entries =
                process.presentHosts(Role.ENTRY).stream().map(Host::id).collect(Collectors.toSet());
        endpoints.values().forEach(endpoint -> endpoint.retainEntries(entries));
        updateLeavingEndpoints();
    }

    private EndpointBatch newEndpoint(EndpointSettings endpoint, ServiceSettings service) {
        return new EndpointBatch(
                endpoint, service.batchWeightPercent(), settings.slotPolicy(), new LeastWorkLostOrder());
    }

    private List<EndpointSettings> assignedEndpoints() {
        return endpoints.values().stream().map(EndpointBatch::settings).toList();
    }

    private void onStatusRead(EndpointSettings endpointSettings, EndpointStatus status) {
        EndpointBatch endpoint = endpoints.get(endpointSettings.name());
        if (endpoint == null) {
            return;
        }
        yieldItems(endpoint.onEngineReport(
                status.active() + status.queued(), process.loop().nowNanos()));
        boolean wasLeaving = leaving.all().contains(endpointSettings.name());
        leaving.update(LeavingSource.ENDPOINT, endpointSettings.name(), status.draining());
        if (wasLeaving != status.draining()) {
            updateLeavingEndpoints();
            PeerMessage notice = new PeerMessage.LeavingNotice(endpointSettings.name(), status.draining());
            process.presentHosts(Role.ENTRY).forEach(host -> process.send(host, notice));
        }
    }

    private void updateLeavingEndpoints() {
        Set<String> all = leaving.all();
        endpoints.forEach((name, endpoint) -> endpoint.setLeaving(all.contains(name)));
    }

    private void requestItems() {
        if (process.plannedStop().phase() != PlannedStop.Phase.SERVING) {
            return;
        }
        long now = process.loop().nowNanos();
        Map<String, Integer> freeSlotsByService = new HashMap<>();
        endpoints
                .values()
                .forEach(endpoint ->
                        freeSlotsByService.merge(endpoint.settings().service(), endpoint.freeSlots(now), Integer::sum));
        freeSlotsByService.forEach((service, freeSlots) -> {
            if (freeSlots > 0) {
                sources.nextOwnerToAsk(service).ifPresent(owner -> requestItemsFrom(owner, service, freeSlots));
            }
        });
    }

    private void requestItemsFrom(HostId owner, String service, int freeSlots) {
        Optional<Host> host = process.presentHosts(Role.STEWARD).stream()
                .filter(present -> present.id().equals(owner))
                .findFirst();
        if (host.isEmpty()) {
            sources.remove(owner);
            return;
        }
        PeerMessage request = new PeerMessage.ItemsRequest(service, Math.min(freeSlots, MAX_ITEMS_PER_REQUEST));
        process.ask(host.get(), request)
                .whenComplete((reply, failure) -> process.loop().execute(() -> {
                    List<WorkItem> items = reply instanceof PeerMessage.Items found ? found.items() : List.of();
                    sources.onAnswer(owner, service, !items.isEmpty());
                    items.forEach(item -> startOrRefuse(host.get(), service, item));
                    if (!items.isEmpty()) {
                        requestItems();
                    }
                }));
    }

    private void startOrRefuse(Host owner, String service, WorkItem item) {
        long now = process.loop().nowNanos();
        List<EndpointBatch> candidates = endpoints.values().stream()
                .filter(endpoint -> endpoint.settings().service().equals(service) && endpoint.freeSlots(now) > 0)
                .sorted((one, other) -> Integer.compare(other.freeSlots(now), one.freeSlots(now)))
                .toList();
        ItemRun run = new ItemRun(process, this, owner, service, item, ++lastRunNumber);
        unsettledRuns.add(run);
        if (candidates.isEmpty() || process.plannedStop().phase() != PlannedStop.Phase.SERVING) {
            run.refuse();
        } else if (item.suspect()) {
            run.requestPermit(candidates.stream().map(EndpointBatch::settings).toList());
        } else {
            startRun(run, candidates.get(0).settings());
        }
    }

    /** Starts a run at an endpoint, or refuses the item if the endpoint is no longer assigned to this host. */
    void startRun(ItemRun run, EndpointSettings endpoint) {
        EndpointBatch batch = endpoints.get(endpoint.name());
        if (batch == null) {
            run.refuse();
            return;
        }
        RunningItem running = new RunningItem(run.number(), process.loop().nowNanos());
        batch.recordStart(running);
        runs.put(run.number(), run);
        run.start(endpoint, running, settings.endpointSilenceMillis());
    }
}
