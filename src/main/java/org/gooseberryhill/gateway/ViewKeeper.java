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
 * Keeps a view of one prefix up to date, from the store and from what other hosts read there. Used by the control thread
 * only.
 *
 * <p>Each call of the store has its price, and all hosts want the same changes: the host whose turn it is asks and tells
 * the others; the rest ask only when the view has become older than their own, longer patience. No host is chosen for it,
 * so none is missed when it is lost.
 */
final class ViewKeeper {
    /** A failed question is not repeated sooner: refused calls have their price too. */
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
            GatewayContext context, PeerLinks links, String prefix, ViewPace pace, Consumer<List<KeyChange>> onNews) {
        this.context = context;
        this.links = links;
        this.prefix = prefix;
        this.pace = pace;
        this.onNews = onNews;
        this.freshNanos = context.nowNanos() - TimeUnit.HOURS.toNanos(1);
        this.notBeforeNanos = context.nowNanos();
    }

    String prefix() {
        return prefix;
    }

    KeyView view() {
        return view;
    }

    /** How old the view may be at the most, in milliseconds. */
    long ageMillis() {
        return TimeUnit.NANOSECONDS.toMillis(context.nowNanos() - freshNanos);
    }

    boolean isKnown() {
        return view.revision() > 0;
    }

    /** Asks the store if it is this host's turn; the rank is this host's place among the live ones. */
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
     * Another host passed changes on. Returns false if this one lacks what came before them: then only all that the other
     * knows helps.
     */
    boolean passedOn(GatewayMessage.ViewChanges changes) {
        Optional<List<KeyChange>> news = view.advance(changes.fromRevision(), changes.toRevision(), changes.changes());
        news.ifPresent(
                found -> refreshed(context.nowNanos() - TimeUnit.MILLISECONDS.toNanos(changes.ageMillis()), found));
        return news.isPresent();
    }

    /** Another host told all that it knows. */
    void listed(GatewayMessage.ViewListing listing) {
        if (listing.revision() > 0) {
            long readNanos = context.nowNanos() - TimeUnit.MILLISECONDS.toNanos(listing.ageMillis());
            refreshed(readNanos, view.replace(listing.revision(), listing.entries()));
        }
    }

    /** All that this host knows, for another one. */
    GatewayMessage.ViewListing listing() {
        return new GatewayMessage.ViewListing(prefix, view.revision(), view.entries(), ageMillis());
    }

    private void list() {
        asking = true;
        long askedNanos = context.nowNanos();
        context.onLoop(context.store().list(prefix, false), (listing, failure) -> {
            asking = false;
            if (failure != null) {
                failed(failure);
                return;
            }
            take(listing, askedNanos);
        });
    }

    private void take(KeyValueStore.Listing listing, long askedNanos) {
        long before = view.revision();
        List<KeyChange> news = view.replace(listing.revision(), listing.entries());
        context.timeline()
                .event(EventKind.VIEW_LISTED)
                .with("prefix", prefix)
                .with("revision", listing.revision())
                .with("before", before)
                .write();
        refreshed(askedNanos, news);
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
        // The store answers when something has changed or the wait is over: the answer is as new as its arrival.
        view.advance(from, changes.revision(), changes.changes())
                .ifPresent(news -> refreshed(context.nowNanos(), news));
        links.tellAll(new GatewayMessage.ViewChanges(prefix, from, changes.revision(), changes.changes(), 0));
    }

    private void changesFailed(Throwable failure) {
        if (ExternalServiceException.kindOf(failure) == ExternalServiceException.Kind.HISTORY_GONE) {
            // What happened in between is lost: only a listing shows which keys have gone.
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

    private void refreshed(long readNanos, List<KeyChange> news) {
        if (readNanos - freshNanos > 0) {
            freshNanos = readNanos;
        }
        if (!news.isEmpty()) {
            onNews.accept(news);
        }
    }
}
