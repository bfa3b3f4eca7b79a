package org.gooseberryhill.gateway;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.gooseberryhill.external.ExternalServiceException;
import org.gooseberryhill.external.KeyChange;
import org.gooseberryhill.external.KeyValueStore;
import org.gooseberryhill.external.PollingKeyValueStore;
import org.gooseberryhill.peer.GatewayMessage;
import org.gooseberryhill.timeline.EventKind;
import org.gooseberryhill.view.KeyView;

/**
 * Keeps the view of one key prefix up to date, from the store and from what other hosts read there. Used by the control
 * thread only.
 *
 * <p>Each store call has a cost, and all hosts need the same changes: the host whose turn it is queries the store and
 * forwards the changes; the others query only when their view exceeds their own, larger maximum age. No host is elected
 * for this, so that updates continue when any host is lost.
 */
final class ViewKeeper {
    /** A failed query is not repeated sooner, since refused calls have a cost too. */
    private static final long RETRY_MILLIS = 300;

    private final GatewayContext context;
    private final PeerLinks links;
    private final String prefix;
    private final ViewPace pace;
    private final Consumer<List<KeyChange>> onNews;
    private final KeyView view = new KeyView();
    private boolean asking;
    private long freshNanos;
    private long notBeforeNanos;

    ViewKeeper(
            GatewayContext context,
            PeerLinks links,
            String prefix,
            ViewPace refreshPolicy,
            Consumer<List<KeyChange>> onChanges) {
        this.context = context;
        this.links = links;
        this.prefix = prefix;
        this.pace = refreshPolicy;
        this.onNews = onChanges;
        this.freshNanos = context.nowNanos() - TimeUnit.HOURS.toNanos(1);
        this.notBeforeNanos = context.nowNanos();
    }

    String prefix() {
        return prefix;
    }

    KeyView view() {
        return view;
    }

    /** Returns the maximum age of the view in milliseconds. */
    long ageMillis() {
        return TimeUnit.NANOSECONDS.toMillis(context.nowNanos() - freshNanos);
    }

    boolean isKnown() {
        return view.revision() > 0;
    }

    /** Queries the store if it is this host's turn; the rank is this host's position among the live ones. */
    void tick(int rank) {
        if (asking || context.nowNanos() - notBeforeNanos < 0) {
            return;
        }
        if (!isKnown()) {
            list();
        } else if (ageMillis() >= pace.patienceMillis(rank)) {
            askChanges();
        }
    }

    /**
     * Applies changes that another host forwarded. Returns false if this host lacks the changes before them; it then needs
     * a listing of all entries that the other host knows.
     */
    boolean passedOn(GatewayMessage.ViewChanges changes) {
        Optional<List<KeyChange>> newChanges =
                view.advance(changes.fromRevision(), changes.toRevision(), changes.changes());
        newChanges.ifPresent(
                found -> refreshed(context.nowNanos() - TimeUnit.MILLISECONDS.toNanos(changes.ageMillis()), found));
        return newChanges.isPresent();
    }

    /** Applies a listing of all entries that another host knows. */
    void listed(GatewayMessage.ViewListing listing) {
        if (listing.revision() > 0) {
            long readNanos = context.nowNanos() - TimeUnit.MILLISECONDS.toNanos(listing.ageMillis());
            refreshed(readNanos, view.replace(listing.revision(), listing.entries()));
        }
    }

    /** Returns a listing of all entries that this host knows, for another host. */
    GatewayMessage.ViewListing listing() {
        return new GatewayMessage.ViewListing(prefix, view.revision(), view.entries(), ageMillis());
    }

    private void list() {
        asking = true;
        long sentNanos = context.nowNanos();
        context.onLoop(context.store().list(prefix, false), (listing, failure) -> {
            asking = false;
            if (failure != null) {
                failed(failure);
                return;
            }
            take(listing, sentNanos);
        });
    }

    private void take(KeyValueStore.Listing listing, long sentNanos) {
        long before = view.revision();
        List<KeyChange> newChanges = view.replace(listing.revision(), listing.entries());
        context.timeline()
                .event(EventKind.VIEW_LISTED)
                .with("prefix", prefix)
                .with("revision", listing.revision())
                .with("before", before)
                .write();
        refreshed(sentNanos, newChanges);
    }

    private void askChanges() {
        asking = true;
        long from = view.revision();
        context.onLoop(context.store().changesAfter(prefix, from, pace.waitMillis()), (changes, failure) -> {
            asking = false;
            if (failure != null) {
                changesFailed(failure);
                return;
            }
            take(from, changes);
        });
    }

    private void take(long from, PollingKeyValueStore.Changes changes) {
        // The store answers on a change or when the wait is over, so the answer is current as of its arrival.
        view.advance(from, changes.revision(), changes.changes())
                .ifPresent(newChanges -> refreshed(context.nowNanos(), newChanges));
        links.tellAll(new GatewayMessage.ViewChanges(prefix, from, changes.revision(), changes.changes(), 0));
    }

    private void changesFailed(Throwable failure) {
        if (ExternalServiceException.kindOf(failure) == ExternalServiceException.Kind.HISTORY_GONE) {
            // The changes in between are no longer available: only a listing shows which keys were deleted.
            list();
            return;
        }
        failed(failure);
    }

    private void failed(Throwable failure) {
        notBeforeNanos = context.nowNanos() + TimeUnit.MILLISECONDS.toNanos(RETRY_MILLIS);
        context.timeline()
                .event(EventKind.VIEW_UNANSWERED)
                .with("prefix", prefix)
                .with("reason", String.valueOf(failure.getMessage()))
                .with("ageMillis", ageMillis())
                .write();
    }

    private void refreshed(long readNanos, List<KeyChange> newChanges) {
        if (readNanos - freshNanos > 0) {
            freshNanos = readNanos;
        }
        if (!newChanges.isEmpty()) {
            onNews.accept(newChanges);
        }
    }
}
