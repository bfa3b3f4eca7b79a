package org.gooseberryhill.decision.requestbatch;

import java.util.Optional;
import java.util.OptionalLong;
import org.gooseberryhill.route.Route;
import org.gooseberryhill.route.RouteKind;
import org.gooseberryhill.route.RouteTable;

/** Finds the routes of batches in the current configuration. Not thread-safe. */
public final class BatchRoutes {
    private RouteTable table = RouteTable.EMPTY;

    /** Replaces the route table. */
    public void configure(RouteTable newTable) {
        table = newTable;
    }

    /** Returns whether the current configuration has client accounts. */
    public boolean hasAccounts() {
        return !table.accounts().isEmpty();
    }

    /** Returns the route that a batch was submitted to, if the configuration still contains it. */
    public Optional<Route> of(OwnedBatch batch) {
        return table.find(batch.record().host(), batch.record().target())
                .filter(route -> route.kind() == RouteKind.BATCH);
    }

    /** Returns when all results of a batch are due, in epoch milliseconds; empty if the batch has no route. */
    public OptionalLong dueAtMillis(OwnedBatch batch) {
        Optional<Route> route = of(batch);
        return route.isEmpty() ? OptionalLong.empty() : OptionalLong.of(dueAtMillis(batch, route.get()));
    }

    static long dueAtMillis(OwnedBatch batch, Route route) {
        return batch.record().acceptedAtMillis() + route.completionTargetMillis();
    }
}
