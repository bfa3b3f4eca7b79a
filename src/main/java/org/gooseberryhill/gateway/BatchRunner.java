package org.gooseberryhill.gateway;

import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.account.Attribution;
import org.gooseberryhill.contract.Prompt;
import org.gooseberryhill.decision.coordination.ItemStart;
import org.gooseberryhill.decision.dispatch.AttemptEnd;
import org.gooseberryhill.decision.dispatch.FleetEndpoint;
import org.gooseberryhill.decision.promptpart.IsolationPermit;
import org.gooseberryhill.decision.requestbatch.BatchRecord;
import org.gooseberryhill.decision.requestbatch.BatchRoutes;
import org.gooseberryhill.decision.requestbatch.ItemDispatch;
import org.gooseberryhill.decision.requestbatch.OwnedBatch;
import org.gooseberryhill.decision.requestbatch.PlacedItem;
import org.gooseberryhill.decision.requestbatch.RunEnd;
import org.gooseberryhill.decision.requestbatch.SuspectItem;
import org.gooseberryhill.directory.EndpointEntry;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.peer.CoordinationMessage;
import org.gooseberryhill.route.Route;
import org.gooseberryhill.timeline.EventBuilder;
import org.gooseberryhill.timeline.EventKind;

/**
 * Runs items of owned batches in the slots that the coordinators of endpoints grant, as {@link ItemDispatch} decides.
 * Confined to the control thread.
 */
final class BatchRunner implements SlotExchange.GrantReceiver {
    /**
     * Age at which a batch without a route is given up. Until then a new configuration may contain its route again;
     * after that no caller is entitled to its results.
     */
    private static final long MISSING_ROUTE_RETENTION_MILLIS = 20_000;

    private final GatewayContext context;
    private final BatchRegistry registry;
    private final BatchRoutes routes;
    private final ItemDispatch dispatch;
    private final SlotExchange slots;
    private final WorkAnnouncer announcer;
    private final GatewayTraffic traffic;
    private final Map<PlacedItem, ItemRun> runs = new IdentityHashMap<>();
    private final Map<PlacedItem, IsolationPermit> permits = new IdentityHashMap<>();
    private boolean stopping;

    BatchRunner(
            GatewayContext context,
            BatchRegistry registry,
            BatchRoutes routes,
            ItemDispatch dispatch,
            SlotExchange slots,
            WorkAnnouncer announcer,
            GatewayTraffic traffic) {
        this.context = context;
        this.registry = registry;
        this.routes = routes;
        this.dispatch = dispatch;
        this.slots = slots;
        this.announcer = announcer;
        this.traffic = traffic;
    }

    /** Stops starting items, because the host is stopping. */
    void stopStarting() {
        stopping = true;
    }

    int runningItems() {
        return dispatch.runningCount();
    }

    /** Announces the items that wait for a slot to the coordinators of endpoints. */
    void schedule() {
        announcer.itemsChanged();
    }

    /** Gives up items that are too old. Called often. */
    void tick() {
        giveUpExpired();
    }

    @Override
    public void onGrant(HostId coordinator, CoordinationMessage.SlotGrant grant) {
        Optional<EndpointEntry> endpoint = context.fleet()
                .find(grant.endpoint())
                .filter(found -> !stopping && found.isUsable(context.nowNanos()))
                .map(FleetEndpoint::entry);
        if (endpoint.isEmpty()) {
            slots.send(coordinator, new CoordinationMessage.GrantReturned(grant.reservation()));
            return;
        }
        Optional<SuspectItem> suspect = dispatch.suspectAt(
                endpoint.get(),
                grant.pressure(),
                registry.openBatches(),
                context.nowNanos(),
                System.currentTimeMillis());
        if (suspect.isPresent()) {
            askPermit(suspect.get(), endpoint.get(), coordinator, grant);
        } else {
            startUnsuspected(endpoint.get(), coordinator, grant);
        }
    }

    private void startUnsuspected(EndpointEntry endpoint, HostId coordinator, CoordinationMessage.SlotGrant grant) {
        Optional<PlacedItem> placed = dispatch.startAt(
                endpoint, grant.pressure(), registry.openBatches(), context.nowNanos(), System.currentTimeMillis());
        if (placed.isPresent()) {
            start(placed.get(), grant.reservation());
        } else {
            slots.send(coordinator, new CoordinationMessage.GrantReturned(grant.reservation()));
        }
    }

    private void askPermit(
            SuspectItem suspect, EndpointEntry endpoint, HostId coordinator, CoordinationMessage.SlotGrant grant) {
        traffic.permits().ask(suspect.parts(), suspect.isConfined(), List.of(endpoint.key()), answer -> {
            boolean mayRun = answer.permit().isPresent() || (!answer.answered() && !suspect.isConfined());
            Optional<PlacedItem> placed = mayRun && !stopping
                    ? dispatch.startSuspect(suspect, endpoint, context.nowNanos())
                    : Optional.empty();
            if (placed.isPresent()) {
                answer.permit().ifPresent(permit -> permits.put(placed.get(), permit));
                start(placed.get(), grant.reservation());
                return;
            }
            answer.permit().ifPresent(traffic.permits()::release);
            startUnsuspected(endpoint, coordinator, grant);
        });
    }

    @Override
    public void onYield(List<Long> numbers) {
        numbers.forEach(number -> dispatch.find(number).ifPresent(run -> cancelRuns(List.of(run))));
    }

    /** Processes the output that the running items have generated since the last call. */
    void processQueuedEvents() {
        List.copyOf(runs.values()).forEach(ItemRun::processQueuedEvents);
    }

    /** Applies a new directory. */
    void endpointsChanged(DirectoryUpdate update) {
        runs.values().forEach(run -> {
            run.endpointsChanged(update.passed());
            run.endpointsChanged(update.entries());
        });
        schedule();
    }

    /** Returns the last moment at which the directory was certainly up to date. */
    long directoryNanos() {
        return context.nowNanos() - TimeUnit.MILLISECONDS.toNanos(traffic.directoryAgeMillis());
    }

    /** Cancels all runs of a batch. */
    void cancelRunsOfBatch(String batchId) {
        cancelRuns(dispatch.runsOf(batchId));
    }

    /** Cancels all runs. */
    void cancelAllRuns() {
        cancelRuns(dispatch.allRuns());
    }

    /** Returns what endpoints are told of the account of a batch, also once the account has no keys any more. */
    Attribution attribution(BatchRecord record) {
        return record.account()
                .map(Attribution::to)
                .orElse(routes.hasAccounts() ? Attribution.ANONYMOUS : Attribution.NONE);
    }

    /** Handles that a run occupies its endpoint no longer. */
    void onExchangeEnded(PlacedItem run, RunEnd end, AttemptEnd attemptEnd) {
        trackPromptParts(run, prompt(run), end);
        dispatch.exchangeEnded(run, attemptEnd, context.nowNanos());
        slots.tell(run.endpoint().key(), new CoordinationMessage.ItemEnded(run.number(), attemptEnd));
    }

    /**
     * Handles the end of a run whose output is known.
     *
     * @param endedNanos when it occupied its endpoint no longer
     */
    void onRunEnded(PlacedItem run, RunEnd end, String detail, long endedNanos) {
        runs.remove(run);
        dispatch.outputKnown(run, end, endedNanos, context.nowNanos());
        context.metrics().itemRunEnded(end);
        EventBuilder event = context.timeline()
                .event(isFailure(end) ? EventKind.ITEM_RUN_FAILED : EventKind.ITEM_RUN_ENDED)
                .job(run.batch().id())
                .with("item", run.item().item().id())
                .endpoint(run.endpoint().id())
                .with("end", end)
                .with("detail", detail)
                .with("ranMillis", TimeUnit.NANOSECONDS.toMillis(run.elapsedNanos(endedNanos)))
                .with("characters", run.item().characterCount())
                .with("errorAnswers", run.item().errorAnswerCount())
                .with("givenUp", run.item().isGivenUp());
        prompt(run).filter(given -> isFailure(end)).ifPresent(given -> PromptLogFields.addTo(event, given));
        event.write();
        announcer.itemsChanged();
    }

    private Optional<Prompt> prompt(PlacedItem run) {
        return ItemRun.prompt(context.dialects().traffic(), run.item().item());
    }

    private void trackPromptParts(PlacedItem run, Optional<Prompt> prompt, RunEnd end) {
        long sentNanos = context.nowNanos() - run.elapsedNanos(context.nowNanos());
        Runnable release = () -> Optional.ofNullable(permits.remove(run)).ifPresent(traffic.permits()::release);
        if (end == RunEnd.CUT) {
            traffic.promptParts().connectionLost(run.endpoint(), prompt, sentNanos, release);
            return;
        }
        if (end == RunEnd.COMPLETED || end == RunEnd.UNCONFIRMED) {
            boolean endIsMarked = end == RunEnd.COMPLETED;
            prompt.ifPresent(given -> traffic.promptParts().answered(given, run.endpoint(), sentNanos, endIsMarked));
        }
        release.run();
    }

    private static boolean isFailure(RunEnd end) {
        return end == RunEnd.CUT || end == RunEnd.ERROR_ANSWER || end == RunEnd.REJECTED;
    }

    private void start(PlacedItem placed, long reservation) {
        slots.tell(
                placed.endpoint().key(),
                new CoordinationMessage.ItemStarted(new ItemStart(
                        reservation, placed.number(), placed.endpoint().key(), placed.timing())));
        context.timeline()
                .event(EventKind.ITEM_STARTED)
                .job(placed.batch().id())
                .with("item", placed.item().item().id())
                .endpoint(placed.endpoint().id())
                .with("softwareVersion", placed.endpoint().softwareVersion())
                .with("afterEvent", placed.item().lastEventId().orElse(0L))
                .with("slackMillis", placed.timing().slackMillis())
                .write();
        ItemRun run = new ItemRun(context, this, placed);
        runs.put(placed, run);
        run.start();
        announcer.itemsChanged();
    }

    private void cancelRuns(List<PlacedItem> runsToCancel) {
        runsToCancel.forEach(run -> Optional.ofNullable(runs.get(run)).ifPresent(ItemRun::cancel));
    }

    /**
     * Gives up the open items of batches that are older than the retention period of their route. Without a route in the
     * configuration the limit is {@link #MISSING_ROUTE_RETENTION_MILLIS}.
     */
    private void giveUpExpired() {
        long nowMillis = System.currentTimeMillis();
        for (OwnedBatch batch : registry.openBatches()) {
            Optional<Route> route = routes.of(batch);
            long ageMillis = nowMillis - batch.record().acceptedAtMillis();
            boolean tooOld = route.map(found -> found.retentionMillis() > 0 && ageMillis > found.retentionMillis())
                    .orElse(ageMillis > MISSING_ROUTE_RETENTION_MILLIS);
            if (tooOld && batch.openItemCount() > 0) {
                context.timeline()
                        .event(EventKind.ITEM_GIVEN_UP)
                        .job(batch.id())
                        .with("items", batch.openItemCount())
                        .with("ageMillis", ageMillis)
                        .with("routeKnown", route.isPresent())
                        .write();
                cancelRunsOfBatch(batch.id());
                batch.giveUpAll();
            }
        }
    }
}
