package org.gooseberryhill.gateway;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.gooseberryhill.decision.dispatch.AttemptEnd;
import org.gooseberryhill.decision.dispatch.FleetEndpoint;
import org.gooseberryhill.decision.requestbatch.ItemProgress;
import org.gooseberryhill.decision.requestbatch.OwnedBatch;
import org.gooseberryhill.decision.requestbatch.RunEnd;
import org.gooseberryhill.directory.EndpointKey;
import org.gooseberryhill.route.Route;
import org.gooseberryhill.route.RouteKind;
import org.gooseberryhill.route.RouteTable;
import org.gooseberryhill.route.RouteTarget;

/** Starts items of owned batches where slots are free, and lets them yield to online requests. For the control thread. */
final class BatchRunner {
    private final GatewayContext context;
    private final BatchBoard board;
    private final Runnable onLoadChange;
    private final Map<EndpointKey, List<ItemRun>> runs = new HashMap<>();
    private RouteTable table = RouteTable.EMPTY;
    private boolean paused;

    BatchRunner(GatewayContext context, BatchBoard board, Runnable onLoadChange) {
        this.context = context;
        this.board = board;
        this.onLoadChange = onLoadChange;
    }

    /** Takes a configuration into force. */
    void configure(RouteTable newTable) {
        table = newTable;
    }

    /** Starts nothing new any more: the host stops. */
    void pause() {
        paused = true;
    }

    int running() {
        return runs.values().stream().mapToInt(List::size).sum();
    }

    /** Fits what runs to what is known now: items yield where too much is in flight, others start where slots are free. */
    void balance() {
        yieldWhereFull();
        if (!paused) {
            startWhereFree();
        }
    }

    /** Gives up all runs of a batch. */
    void stop(String batchId) {
        for (List<ItemRun> endpointRuns : List.copyOf(runs.values())) {
            List.copyOf(endpointRuns).stream()
                    .filter(run -> run.batch().id().equals(batchId))
                    .forEach(ItemRun::yield);
        }
    }

    /** Gives up all runs. */
    void stopAll() {
        List.copyOf(runs.values())
                .forEach(endpointRuns -> List.copyOf(endpointRuns).forEach(ItemRun::yield));
    }

    /** A run ended. */
    void ended(ItemRun run, RunEnd end, AttemptEnd attemptEnd, String detail) {
        EndpointKey key = run.endpoint().key();
        List<ItemRun> endpointRuns = runs.get(key);
        endpointRuns.remove(run);
        if (endpointRuns.isEmpty()) {
            runs.remove(key);
        }
        context.fleet().batchEnded(key);
        context.fleet().observed(key, attemptEnd, context.nowNanos());
        int maxAttempts = route(run.batch()).map(Route::maxAttempts).orElse(1);
        run.batch().ended(run.item(), end, maxAttempts, context.nowNanos());
        context.log()
                .record(
                        "item.run-ended",
                        "batch",
                        run.batch().id(),
                        "item",
                        run.item().item().id(),
                        "endpoint",
                        key.id(),
                        "end",
                        end,
                        "detail",
                        detail);
        onLoadChange.run();
    }

    private void yieldWhereFull() {
        for (EndpointKey key : List.copyOf(runs.keySet())) {
            Optional<FleetEndpoint> endpoint = context.fleet().find(key);
            if (endpoint.isEmpty()) {
                continue;
            }
            int share = context.fleet()
                    .yieldShare(endpoint.get(), context.settings().self().id());
            List<ItemRun> endpointRuns = List.copyOf(runs.get(key));
            for (int i = 0; i < Math.min(share, endpointRuns.size()); i++) {
                // The run that started last has the least to read again elsewhere.
                endpointRuns.get(endpointRuns.size() - 1 - i).yield();
            }
        }
    }

    private void startWhereFree() {
        List<OwnedBatch> open = board.batches().stream()
                .filter(batch -> !batch.isFinished())
                .sorted(Comparator.comparingLong(batch -> batch.record().acceptedAtMillis()))
                .toList();
        for (OwnedBatch batch : open) {
            Optional<Route> route = route(batch);
            if (route.isEmpty()) {
                continue;
            }
            for (ItemProgress item : batch.startable(context.nowNanos())) {
                Optional<FleetEndpoint> endpoint = freest(route.get());
                if (endpoint.isEmpty()) {
                    break;
                }
                start(batch, item, endpoint.get());
            }
        }
    }

    private void start(OwnedBatch batch, ItemProgress item, FleetEndpoint endpoint) {
        ItemRun run = new ItemRun(context, this, batch, item, endpoint.entry());
        runs.computeIfAbsent(endpoint.key(), key -> new ArrayList<>()).add(run);
        context.fleet().batchStarted(endpoint.key());
        batch.started(item);
        run.start();
        onLoadChange.run();
    }

    private Optional<FleetEndpoint> freest(Route route) {
        FleetEndpoint best = null;
        for (RouteTarget target : route.targets()) {
            for (FleetEndpoint candidate : context.fleet().of(target.service())) {
                boolean usable =
                        target.weight() > 0 && candidate.freeSlots() > 0 && candidate.isUsable(context.nowNanos());
                if (usable && (best == null || candidate.freeSlots() > best.freeSlots())) {
                    best = candidate;
                }
            }
        }
        return Optional.ofNullable(best);
    }

    private Optional<Route> route(OwnedBatch batch) {
        return table.find(batch.record().host(), batch.record().target())
                .filter(route -> route.kind() == RouteKind.BATCH);
    }
}
