package org.gooseberryhill.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import org.gooseberryhill.external.ExternalServiceException;
import org.gooseberryhill.external.KeyChange;
import org.gooseberryhill.external.KeyValueStore;
import org.gooseberryhill.external.PollingKeyValueStore;
import org.gooseberryhill.peer.GatewayMessage;
import org.gooseberryhill.timeline.EventKind;
import org.gooseberryhill.view.KeyView;

/**
 * Keeps the view of one key prefix up to date, from the store and from what other hosts read there. Confined to the
 * control thread.
 *
 * <p>Each store call has a cost, and all hosts need the same changes: the host whose turn it is queries the store and
 * forwards the changes; the others query only when their view exceeds their own, larger maximum age. No host is elected
 * for this, so that updates continue when any host is lost.
 */
final class ViewUpdater {
    /** A failed query is not repeated sooner, since refused calls have a cost too. */
    private static final long RETRY_DELAY_MILLIS = 300;

    /**
     * Queries for changes in a row that fail without a known reason before all entries are listed instead. The changes since a
     * revision come in one answer, which may be too large each time it is sent; a listing comes in pages.
     */
    private static final int MAX_FAILED_CHANGES_QUERIES = 3;

    /** The store answers at once, even without a change. */
    private static final long NO_WAIT_MILLIS = 1;

    private final GatewayContext context;
    private final PeerLinks links;
    private final String prefix;
    private final ViewRefreshPolicy refreshPolicy;
    private final Consumer<List<KeyChange>> onChanges;
    private final UnaryOperator<List<KeyChange>> forwardFilter;
    private final KeyView view = new KeyView();
    private final List<Consumer<Boolean>> awaitingRead = new ArrayList<>();
    private Runnable onChangesMissed = () -> {};
    private boolean readPending;
    private boolean queryPending;
    private int failedChangesQueries;
    private long currentAsOfNanos;
    private long nextQueryNanos;

    /**
     * Creates a view without entries.
     *
     * @param onChanges receives the changes of the view
     * @param forwardFilter removes the changes that other hosts need not know; called before the view changes
     */
    ViewUpdater(
            GatewayContext context,
            PeerLinks links,
            String prefix,
            ViewRefreshPolicy refreshPolicy,
            Consumer<List<KeyChange>> onChanges,
            UnaryOperator<List<KeyChange>> forwardFilter) {
        this.context = context;
        this.links = links;
        this.prefix = prefix;
        this.refreshPolicy = refreshPolicy;
        this.onChanges = onChanges;
        this.forwardFilter = forwardFilter;
        this.currentAsOfNanos = context.nowNanos() - TimeUnit.HOURS.toNanos(1);
        this.nextQueryNanos = context.nowNanos();
    }

    String prefix() {
        return prefix;
    }

    KeyView view() {
        return view;
    }

    /** Adds gauges of how up to date this view is, under a name. */
    void addGauges(String name) {
        context.metrics()
                .gauge(
                        "gooseberry_" + name + "_age_seconds",
                        "Time since the view was certainly up to date: " + name,
                        () -> (double) ageMillis() / TimeUnit.SECONDS.toMillis(1));
        context.metrics()
                .gauge(
                        "gooseberry_" + name + "_revision",
                        "Revision up to which the view contains all changes: " + name,
                        view::revision);
    }

    /** Sets what is called when changes may be missing: entries may have come and gone between two listings. */
    void setOnChangesMissed(Runnable action) {
        onChangesMissed = action;
    }

    /**
     * Returns the time since the last moment at which the view was certainly up to date, in milliseconds. Later changes
     * in the store may be missing from it. Before the first listing it is an hour or more.
     */
    long ageMillis() {
        return TimeUnit.NANOSECONDS.toMillis(context.nowNanos() - currentAsOfNanos);
    }

    boolean isLoaded() {
        return view.revision() > 0;
    }

    /**
     * Queries the store if it is this host's turn; the rank is the number of live gateways whose ids precede this
     * host's id.
     */
    void tick(int rank) {
        if (queryPending || context.nowNanos() - nextQueryNanos < 0) {
            return;
        }
        if (!isLoaded()) {
            queryListing();
        } else if (ageMillis() >= refreshPolicy.maxAgeMillis(rank)) {
            queryChanges();
        }
    }

    /**
     * Queries the store for the changes up to now, whichever host's turn it is. All that ask while a query is on its way share the
     * next one.
     *
     * @param receiver receives whether the view contains all changes that were made before this call
     */
    void readNow(Consumer<Boolean> receiver) {
        awaitingRead.add(receiver);
        if (!readPending) {
            readForAwaiting();
        }
    }

    /**
     * Applies changes that another host forwarded. Returns false if this host lacks the changes before them; it then
     * needs a listing of all entries in the other host's view.
     */
    boolean applyForwardedChanges(GatewayMessage.ViewChanges changes) {
        Optional<List<KeyChange>> newChanges =
                view.applyChanges(changes.fromRevision(), changes.toRevision(), changes.changes());
        newChanges.ifPresent(
                found -> viewRefreshed(context.nowNanos() - TimeUnit.MILLISECONDS.toNanos(changes.ageMillis()), found));
        return newChanges.isPresent();
    }

    /** Applies a listing of all entries in another host's view. */
    void applyListing(GatewayMessage.ViewListing listing) {
        if (listing.revision() > 0) {
            long readNanos = context.nowNanos() - TimeUnit.MILLISECONDS.toNanos(listing.ageMillis());
            viewRefreshed(readNanos, replaceView(listing.revision(), listing.entries()));
        }
    }

    /** Returns a listing of all entries in this host's view, for another host. */
    GatewayMessage.ViewListing listing() {
        return new GatewayMessage.ViewListing(prefix, view.revision(), view.entries(), ageMillis());
    }

    private void queryListing() {
        queryPending = true;
        long sentNanos = context.nowNanos();
        boolean mayBeStale = refreshPolicy.firstListingMayBeStale() && !isLoaded();
        context.onLoop(context.store().list(prefix, mayBeStale), (listing, failure) -> {
            queryPending = false;
            if (failure != null) {
                queryFailed(failure);
                return;
            }
            applyStoreListing(listing, sentNanos);
        });
    }

    private void applyStoreListing(KeyValueStore.Listing listing, long sentNanos) {
        long before = view.revision();
        List<KeyChange> newChanges = replaceView(listing.revision(), listing.entries());
        context.timeline()
                .event(EventKind.VIEW_LISTED)
                .with("prefix", prefix)
                .with("revision", listing.revision())
                .with("before", before)
                .write();
        viewRefreshed(sentNanos, newChanges);
    }

    private List<KeyChange> replaceView(long revision, List<KeyChange> entries) {
        if (isLoaded() && revision > view.revision()) {
            onChangesMissed.run();
        }
        return view.applyListing(revision, entries);
    }

    private void readForAwaiting() {
        List<Consumer<Boolean>> receivers = List.copyOf(awaitingRead);
        awaitingRead.clear();
        if (!isLoaded()) {
            receivers.forEach(receiver -> receiver.accept(false));
            return;
        }
        readPending = true;
        long from = view.revision();
        context.onLoop(context.store().changesAfter(prefix, from, NO_WAIT_MILLIS), (changes, failure) -> {
            readPending = false;
            try {
                if (failure == null) {
                    applyStoreChanges(from, changes);
                } else {
                    changesQueryFailed(failure);
                }
            } finally {
                receivers.forEach(receiver -> receiver.accept(failure == null));
                if (!readPending && !awaitingRead.isEmpty()) {
                    readForAwaiting();
                }
            }
        });
    }

    private void queryChanges() {
        queryPending = true;
        long from = view.revision();
        context.onLoop(context.store().changesAfter(prefix, from, refreshPolicy.waitMillis()), (changes, failure) -> {
            queryPending = false;
            if (failure != null) {
                changesQueryFailed(failure);
                return;
            }
            applyStoreChanges(from, changes);
        });
    }

    private void applyStoreChanges(long from, PollingKeyValueStore.Changes changes) {
        failedChangesQueries = 0;
        // Forwarded first, so that what other hosts learn does not depend on what this host makes of the changes.
        List<KeyChange> forwarded = forwardFilter.apply(changes.changes());
        links.broadcast(new GatewayMessage.ViewChanges(prefix, from, changes.revision(), forwarded, 0));
        // The store answers on a change or when the wait is over, so the answer is current as of its arrival.
        view.applyChanges(from, changes.revision(), changes.changes())
                .ifPresent(newChanges -> viewRefreshed(context.nowNanos(), newChanges));
    }

    private void changesQueryFailed(Throwable failure) {
        ExternalServiceException.Kind kind = ExternalServiceException.kindOf(failure);
        if (kind == ExternalServiceException.Kind.HISTORY_GONE) {
            // The changes in between are no longer available: only a listing shows which keys were deleted.
            queryListing();
            return;
        }
        queryFailed(failure);
        if (kind == ExternalServiceException.Kind.UNKNOWN && ++failedChangesQueries >= MAX_FAILED_CHANGES_QUERIES) {
            failedChangesQueries = 0;
            queryListing();
        }
    }

    private void queryFailed(Throwable failure) {
        nextQueryNanos = context.nowNanos() + TimeUnit.MILLISECONDS.toNanos(RETRY_DELAY_MILLIS);
        context.timeline()
                .event(EventKind.VIEW_UNANSWERED)
                .with("prefix", prefix)
                .with("reason", String.valueOf(failure.getMessage()))
                .with("ageMillis", ageMillis())
                .write();
    }

    private void viewRefreshed(long readNanos, List<KeyChange> newChanges) {
        if (readNanos - currentAsOfNanos > 0) {
            currentAsOfNanos = readNanos;
        }
        if (!newChanges.isEmpty()) {
            onChanges.accept(newChanges);
        }
    }
}
