package org.gooseberryhill.gateway;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import org.gooseberryhill.decision.membership.ListedHost;
import org.gooseberryhill.decision.membership.QueryTurn;
import org.gooseberryhill.directory.EndpointEntry;
import org.gooseberryhill.directory.EndpointKey;
import org.gooseberryhill.external.KeyChange;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.link.Address;
import org.gooseberryhill.peer.GatewayMessage;
import org.gooseberryhill.peer.PeerLane;
import org.gooseberryhill.route.RouteConfiguration;
import org.gooseberryhill.stored.StoredKeys;
import org.gooseberryhill.stored.StoredValueCodec;
import org.gooseberryhill.timeline.EventKind;

/**
 * Follows the registrations of endpoints, the entries that operators write (configurations and evacuation requests) and
 * the list of live hosts in the key-value store. Confined to the control thread.
 */
final class GatewayViews {
    /** The store answers in milliseconds; a starting host without an answer after this time queries the seeds as well. */
    private static final long SEED_QUERY_DELAY_MILLIS = 400;

    private static final long LISTING_TIMEOUT_MILLIS = 700;

    /**
     * Period of the updates of this host's rank, which changes when a host joins or leaves, or when the store refuses this
     * one. An outdated rank costs a query too many or too few in this period.
     */
    private static final long RANK_UPDATE_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    private final GatewayContext context;
    private final PeerLinks links;
    private final BooleanSupplier storeReached;
    private final Consumer<RouteConfiguration> onConfiguration;
    private final LatestValueDelivery<DirectoryUpdate> endpointDelivery;
    private final LatestValueDelivery<Collection<ListedHost>> hostDelivery;
    private final Map<String, Consumer<KeyChange>> onRecordByKey;
    private final EvacuationReporter evacuationReporter;
    private final ViewUpdater registrations;
    private final ViewUpdater operators;
    private final ViewUpdater hosts;
    private final RegisteredEndpoints registeredEndpoints;
    private final ChangeApplier changeApplier;
    private final Map<String, ListedHost> listedHosts = new TreeMap<>();
    private Map<EndpointKey, EndpointEntry> loggedEntries = Map.of();
    private int rank;
    private long rankUpdatedNanos;

    /**
     * Creates views that were not loaded yet.
     *
     * @param storeReached whether the store answers this host
     * @param directoryReceivers get each change of the endpoints
     * @param onRegistrationsFollowed receives the view of the registrations, before it is loaded
     * @param onRecordByKey receivers of the records that are kept beside the list of hosts, by key
     */
    GatewayViews(
            GatewayContext context,
            PeerLinks links,
            BooleanSupplier storeReached,
            Consumer<RouteConfiguration> onConfiguration,
            List<Consumer<DirectoryUpdate>> directoryReceivers,
            Consumer<ViewUpdater> onRegistrationsFollowed,
            Map<String, Consumer<KeyChange>> onRecordByKey) {
        this.context = context;
        this.links = links;
        this.storeReached = storeReached;
        this.onConfiguration = onConfiguration;
        List<Consumer<DirectoryUpdate>> receivers = new ArrayList<>(directoryReceivers);
        receivers.add(0, update -> logDirectoryChanges(update.entries()));
        this.endpointDelivery = context.newDelivery("endpoints", receivers, update -> {});
        this.hostDelivery = context.newDelivery("hosts", List.of(links::updateListedHosts), listed -> {});
        this.onRecordByKey = onRecordByKey;
        this.rankUpdatedNanos = context.nowNanos() - RANK_UPDATE_PERIOD_NANOS;
        this.evacuationReporter = new EvacuationReporter(context, links);
        this.changeApplier = new ChangeApplier(context.timeline());
        this.registeredEndpoints = new RegisteredEndpoints(context.dialects().directory(), context.timeline());
        this.registrations = new ViewUpdater(
                context,
                links,
                context.dialects().directory().prefix(),
                ViewRefreshPolicy.REGISTRATIONS,
                this::endpointsChanged,
                registeredEndpoints::withoutHeartbeats);
        onRegistrationsFollowed.accept(registrations);
        this.operators = new ViewUpdater(
                context,
                links,
                context.dialects().operators().prefix(),
                ViewRefreshPolicy.OPERATORS,
                this::operatorEntriesChanged,
                UnaryOperator.identity());
        this.hosts = new ViewUpdater(
                context,
                links,
                StoredKeys.HOSTS,
                ViewRefreshPolicy.HOSTS,
                this::hostsChanged,
                UnaryOperator.identity());
    }

    /** Adds gauges of how up to date the views are. */
    void addGauges() {
        registrations.addGauges("registrations");
        operators.addGauges("operators");
        hosts.addGauges("hosts");
        context.metrics()
                .gauge(
                        "gooseberry_registrations_invalid",
                        "Registrations that name no endpoint to use",
                        registeredEndpoints::invalidCount);
        context.metrics()
                .gauge(
                        "gooseberry_changes_not_applied",
                        "Changes of operators' entries and of the list of hosts whose application failed",
                        changeApplier::failureCount);
    }

    /** Starts to follow the store. */
    void start() {
        tick();
        context.loop().after(SEED_QUERY_DELAY_MILLIS, this::querySeeds);
    }

    /** Queries the store for changes where it is this host's turn; called periodically. */
    void tick() {
        long nowNanos = context.nowNanos();
        if (nowNanos - rankUpdatedNanos >= RANK_UPDATE_PERIOD_NANOS) {
            rankUpdatedNanos = nowNanos;
            rank = computeRank();
        }
        registrations.tick(rank);
        operators.tick(rank);
        hosts.tick(rank);
    }

    /**
     * Returns whether the registrations of endpoints and the entries that operators write (configurations and
     * evacuation requests) have been loaded, from the key-value store or from another host.
     */
    boolean areLoaded() {
        return operators.isLoaded() && registrations.isLoaded();
    }

    /**
     * Returns the time since the last moment at which the list of endpoints was certainly up to date, in milliseconds.
     */
    long directoryAgeMillis() {
        return registrations.ageMillis();
    }

    /** Applies changes that another host forwarded; requests a listing from that host if earlier changes are missing. */
    void onForwardedChanges(HostId from, GatewayMessage.ViewChanges changes) {
        findUpdater(changes.prefix()).ifPresent(updater -> {
            if (!updater.applyForwardedChanges(changes)) {
                links.find(from).ifPresent(host -> requestListing(host.address(), updater));
            }
        });
    }

    /** Returns all entries in this host's view of a key prefix; empty if it has no view of that prefix. */
    Optional<GatewayMessage.ViewListing> listing(String prefix) {
        return findUpdater(prefix).map(ViewUpdater::listing);
    }

    /** Returns this host's rank, which determines whose turn it is to query the store. */
    private int computeRank() {
        HostId self = context.settings().self().id();
        return QueryTurn.rank(self, links.gatewaysNotKnownLost(), storeReached.getAsBoolean());
    }

    private void endpointsChanged(List<KeyChange> changes) {
        if (registeredEndpoints.apply(changes)) {
            endpointDelivery.deliver(
                    new DirectoryUpdate(registeredEndpoints.entries(), registeredEndpoints.passedEntries()));
        }
    }

    private void logDirectoryChanges(Collection<EndpointEntry> entries) {
        Map<EndpointKey, EndpointEntry> entriesByKey = new HashMap<>();
        entries.forEach(entry -> entriesByKey.put(entry.key(), entry));
        Set<EndpointKey> all = new TreeSet<>(entriesByKey.keySet());
        all.addAll(loggedEntries.keySet());
        for (EndpointKey key : all) {
            logDirectoryChange(
                    key, Optional.ofNullable(loggedEntries.get(key)), Optional.ofNullable(entriesByKey.get(key)));
        }
        loggedEntries = entriesByKey;
    }

    private void logDirectoryChange(EndpointKey key, Optional<EndpointEntry> before, Optional<EndpointEntry> after) {
        boolean sameVersion =
                before.map(EndpointEntry::softwareVersion).equals(after.map(EndpointEntry::softwareVersion));
        if (state(before).equals(state(after)) && sameVersion) {
            return;
        }
        context.timeline()
                .event(EventKind.DIRECTORY_CHANGED)
                .endpoint(key.id())
                .with("before", state(before))
                .with("after", state(after))
                .with(
                        "softwareVersion",
                        after.or(() -> before)
                                .map(EndpointEntry::softwareVersion)
                                .orElse(""))
                .with("ageMillis", registrations.ageMillis())
                .write();
    }

    private static String state(Optional<EndpointEntry> entry) {
        return entry.map(listed -> listed.leaving() ? "leaving" : "ready").orElse("absent");
    }

    private void operatorEntriesChanged(List<KeyChange> changes) {
        changeApplier.applyEach(changes, this::requestEvacuation);
        changeApplier.applyEach(changes, this::applyConfiguration);
    }

    private void requestEvacuation(KeyChange entry) {
        context.dialects()
                .operators()
                .parseEvacuation(entry)
                .ifPresent(host -> evacuationReporter.evacuationRequested(host, entry.revision(), computeRank()));
    }

    private void applyConfiguration(KeyChange entry) {
        context.dialects()
                .operators()
                .parseConfiguration(entry)
                .ifPresent(decoded -> decoded.peek(onConfiguration)
                        .peekLeft(finding -> context.timeline()
                                .event(EventKind.CONFIGURATION_INVALID)
                                .with("key", entry.key())
                                .with("finding", finding)
                                .write()));
    }

    private void hostsChanged(List<KeyChange> changes) {
        changeApplier.applyEach(changes, this::applyHostEntry);
        hostDelivery.deliver(List.copyOf(listedHosts.values()));
    }

    private void applyHostEntry(KeyChange entry) {
        Optional<Consumer<KeyChange>> onRecord = Optional.ofNullable(onRecordByKey.get(entry.key()));
        if (onRecord.isPresent()) {
            onRecord.get().accept(entry);
            return;
        }
        listedHosts.remove(entry.key());
        entry.value()
                .flatMap(value -> StoredValueCodec.readHost(value).toJavaOptional())
                .ifPresent(host -> listedHosts.put(entry.key(), host));
    }

    /** Queries the seeds for views that are not loaded yet, so that a host can start while the store is unavailable. */
    private void querySeeds() {
        for (ViewUpdater updater : List.of(hosts, operators, registrations)) {
            if (!updater.isLoaded()) {
                context.settings().seeds().forEach(seed -> requestListing(seed, updater));
            }
        }
        if (!areLoaded() || !hosts.isLoaded()) {
            context.loop().after(SEED_QUERY_DELAY_MILLIS, this::querySeeds);
        }
    }

    private void requestListing(Address address, ViewUpdater updater) {
        GatewayMessage request = new GatewayMessage.ViewRequest(updater.prefix());
        context.onLoop(
                context.peers().ask(address, PeerLane.CONTROL, request, LISTING_TIMEOUT_MILLIS), (reply, failure) -> {
                    if (reply instanceof GatewayMessage.ViewListing listing) {
                        updater.applyListing(listing);
                    }
                });
    }

    private Optional<ViewUpdater> findUpdater(String prefix) {
        return List.of(hosts, operators, registrations).stream()
                .filter(updater -> updater.prefix().equals(prefix))
                .findFirst();
    }
}
