package org.gooseberryhill.gateway;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.gooseberryhill.decision.membership.ListedHost;
import org.gooseberryhill.directory.EndpointEntry;
import org.gooseberryhill.directory.EndpointKey;
import org.gooseberryhill.external.KeyChange;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.link.Address;
import org.gooseberryhill.peer.GatewayMessage;
import org.gooseberryhill.peer.PeerLane;
import org.gooseberryhill.route.RouteConfiguration;
import org.gooseberryhill.stored.StoredForms;
import org.gooseberryhill.stored.StoredKeys;
import org.gooseberryhill.timeline.EventKind;

/**
 * Follows endpoints, operator entries and live hosts in the key-value store. Used by the control thread only.
 */
final class GatewayViews {
    /** The store answers in milliseconds; a starting host without an answer after this time queries the seeds as well. */
    private static final long SEED_MILLIS = 400;

    private static final long ASK_MILLIS = 700;

    /**
     * Period of the updates of this host's rank, which changes when a host joins or leaves. An outdated rank costs a query
     * too many or too few in this period.
     */
    private static final long RANK_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    private final GatewayContext context;
    private final PeerLinks links;
    private final Consumer<RouteConfiguration> onConfiguration;
    private final Runnable onEndpoints;
    private final Evacuations evacuations;
    private final ViewKeeper registrations;
    private final ViewKeeper operators;
    private final ViewKeeper hosts;
    private final RegisteredEndpoints registered;
    private Map<EndpointKey, Boolean> knownEndpoints = Map.of();
    private int rank;
    private long rankedNanos;

    GatewayViews(
            GatewayContext context,
            PeerLinks links,
            Consumer<RouteConfiguration> onConfiguration,
            Runnable onEndpoints) {
        this.context = context;
        this.links = links;
        this.onConfiguration = onConfiguration;
        this.onEndpoints = onEndpoints;
        this.rankedNanos = context.nowNanos() - RANK_NANOS;
        this.evacuations = new Evacuations(context, links);
        this.registered = new RegisteredEndpoints(context.dialects().directory(), context.timeline());
        this.registrations = new ViewKeeper(
                context,
                links,
                context.dialects().directory().prefix(),
                ViewPace.REGISTRATIONS,
                this::endpointsChanged);
        this.operators = new ViewKeeper(
                context, links, context.dialects().operators().prefix(), ViewPace.OPERATORS, this::operatorsWrote);
        this.hosts = new ViewKeeper(context, links, StoredKeys.HOSTS, ViewPace.HOSTS, this::hostsChanged);
    }

    /** Starts to follow the store. */
    void start() {
        tick();
        context.loop().after(SEED_MILLIS, this::askSeeds);
    }

    /** Queries the store for changes where it is this host's turn; called periodically. */
    void tick() {
        long nowNanos = context.nowNanos();
        if (nowNanos - rankedNanos >= RANK_NANOS) {
            rankedNanos = nowNanos;
            rank = rankNow();
        }
        registrations.tick(rank);
        operators.tick(rank);
        hosts.tick(rank);
    }

    /** Returns whether the endpoints and the operator entries are known. */
    boolean areKnown() {
        return operators.isKnown() && registrations.isKnown();
    }

    /** Returns the maximum age of the list of endpoints. */
    long directoryAgeMillis() {
        return registrations.ageMillis();
    }

    /** Applies changes that another host forwarded; requests a listing from that host if earlier changes are missing. */
    void passedOn(HostId from, GatewayMessage.ViewChanges changes) {
        keeper(changes.prefix()).ifPresent(keeper -> {
            if (!keeper.passedOn(changes)) {
                links.find(from).ifPresent(host -> askListing(host.address(), keeper));
            }
        });
    }

    /** Returns all entries that this host knows under a prefix. */
    Optional<GatewayMessage.ViewListing> listing(String prefix) {
        return keeper(prefix).map(ViewKeeper::listing);
    }

    /** Returns this host's position among the live ones, which determines whose turn it is to query the store. */
    private int rankNow() {
        TreeSet<HostId> live = new TreeSet<>();
        links.gateways().forEach(host -> live.add(host.id()));
        return live.headSet(context.settings().self().id()).size();
    }

    private void endpointsChanged(List<KeyChange> changes) {
        if (registered.take(changes)) {
            Collection<EndpointEntry> entries = registered.entries();
            tellDirectoryChanges(entries);
            context.fleet().directory(entries);
        }
        onEndpoints.run();
    }

    private void tellDirectoryChanges(Collection<EndpointEntry> entries) {
        Map<EndpointKey, Boolean> leavingByKey = new HashMap<>();
        entries.forEach(entry -> leavingByKey.put(entry.key(), entry.leaving()));
        if (leavingByKey.equals(knownEndpoints)) {
            return;
        }
        Set<EndpointKey> all = new TreeSet<>(leavingByKey.keySet());
        all.addAll(knownEndpoints.keySet());
        for (EndpointKey key : all) {
            String before = state(knownEndpoints.get(key));
            String after = state(leavingByKey.get(key));
            if (!before.equals(after)) {
                context.timeline()
                        .event(EventKind.DIRECTORY_CHANGED)
                        .endpoint(key.id())
                        .with("before", before)
                        .with("after", after)
                        .with("ageMillis", registrations.ageMillis())
                        .write();
            }
        }
        knownEndpoints = leavingByKey;
    }

    private static String state(Boolean leaving) {
        if (leaving == null) {
            return "absent";
        }
        return leaving ? "leaving" : "ready";
    }

    private void operatorsWrote(List<KeyChange> changes) {
        for (KeyChange entry : changes) {
            context.dialects()
                    .operators()
                    .evacuatedHost(entry)
                    .ifPresent(host -> evacuations.asked(host, entry.revision(), rankNow()));
            context.dialects()
                    .operators()
                    .configuration(entry)
                    .ifPresent(decoded -> decoded.peek(onConfiguration)
                            .peekLeft(finding -> context.timeline()
                                    .event(EventKind.CONFIGURATION_INVALID)
                                    .with("key", entry.key())
                                    .with("finding", finding)
                                    .write()));
        }
    }

    private void hostsChanged(List<KeyChange> changes) {
        List<ListedHost> live = new ArrayList<>();
        for (KeyChange entry : hosts.view().entries()) {
            StoredForms.readHost(entry.value().orElseThrow()).onSuccess(live::add);
        }
        links.listed(live);
    }

    /** Queries the seeds for unknown views, so that a host can start while the store is unavailable. */
    private void askSeeds() {
        for (ViewKeeper keeper : List.of(hosts, operators, registrations)) {
            if (!keeper.isKnown()) {
                context.settings().seeds().forEach(seed -> askListing(seed, keeper));
            }
        }
        if (!areKnown() || !hosts.isKnown()) {
            context.loop().after(SEED_MILLIS, this::askSeeds);
        }
    }

    private void askListing(Address address, ViewKeeper keeper) {
        GatewayMessage request = new GatewayMessage.ViewAsk(keeper.prefix());
        context.onLoop(context.peers().ask(address, PeerLane.CONTROL, request, ASK_MILLIS), (reply, failure) -> {
            if (reply instanceof GatewayMessage.ViewListing listing) {
                keeper.listed(listing);
            }
        });
    }

    private Optional<ViewKeeper> keeper(String prefix) {
        return List.of(hosts, operators, registrations).stream()
                .filter(keeper -> keeper.prefix().equals(prefix))
                .findFirst();
    }
}
