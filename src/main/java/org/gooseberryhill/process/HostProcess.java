package org.gooseberryhill.process;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.vavr.control.Try;
import java.io.Closeable;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.gooseberryhill.control.ControlLoop;
import org.gooseberryhill.decision.drain.PlannedStop;
import org.gooseberryhill.decision.membership.Membership;
import org.gooseberryhill.decision.membership.MembershipSettings;
import org.gooseberryhill.external.EtcdKeyValueStore;
import org.gooseberryhill.external.HostList;
import org.gooseberryhill.external.HttpHostList;
import org.gooseberryhill.host.Host;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.host.Role;
import org.gooseberryhill.http.HttpClient;
import org.gooseberryhill.link.HybridClock;
import org.gooseberryhill.logging.LogSink;
import org.gooseberryhill.peer.PeerClient;
import org.gooseberryhill.peer.PeerLane;
import org.gooseberryhill.peer.PeerMessage;
import org.gooseberryhill.peer.PeerServer;
import org.gooseberryhill.store.SegmentClient;
import org.gooseberryhill.timeline.EventKind;
import org.gooseberryhill.timeline.EventSink;
import org.gooseberryhill.timeline.FileSink;
import org.gooseberryhill.timeline.Timeline;

/**
 * The common part of the system's processes. Its methods are for the control thread unless they say otherwise.
 *
 * <p>Invariant: control state lives on the control thread; traffic threads reach it through {@link #loop()}.
 */
public final class HostProcess implements Closeable {
    /** How long a reply on the control lane may take. */
    public static final long ASK_TIMEOUT_MILLIS = 1000;

    private static final Logger LOG = LogManager.getLogger(HostProcess.class);
    private static final long TICK_MILLIS = 50;

    /** How long a line of the ordinary course may wait for others. */
    private static final long LOG_FLUSH_MILLIS = 250;

    private static final int TRAFFIC_THREADS = 2;
    private static final long GROUP_SHUTDOWN_MILLIS = 500;

    private final HostSettings settings;
    private final byte[] claimValue;
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(TRAFFIC_THREADS, NioIoHandler.newFactory());
    private final HybridClock clock = new HybridClock(System::currentTimeMillis);
    private final EventSink sink;
    private final Timeline timeline;
    private final ControlLoop loop;
    private final HttpClient http;
    private final PeerClient peers;
    private final EtcdKeyValueStore keyValue;
    private final HostList hostList;
    private final Membership membership;
    private final MembershipDriver membershipDriver;
    private final ConfigurationDriver configuration;
    private final SegmentClient segments;
    private final PlannedStop stop;
    private final AtomicBoolean closed = new AtomicBoolean();
    private final CompletableFuture<Void> ended = new CompletableFuture<>();
    private final List<Runnable> membershipListeners = new ArrayList<>();
    private final List<HostListListener> hostListListeners = new CopyOnWriteArrayList<>();
    private MessageHandler roleHandler = (from, message) -> MessageHandler.reply(new PeerMessage.Ack());
    private PeerServer peerServer;
    private long seenMembershipVersion = -1;
    private volatile List<Host> presentStores = List.of();

    /** A process that is not started yet; a seed makes its random choices repeatable. */
    public HostProcess(HostSettings settings, long seed) {
        this.settings = settings;
        HostId self = settings.self().id();
        this.claimValue = (self + "/" + UUID.randomUUID()).getBytes(StandardCharsets.UTF_8);
        this.sink = settings.timelineFolder()
                .<EventSink>map(folder -> new FileSink(folder, self.value()))
                .orElseGet(LogSink::new);
        this.timeline = new Timeline(self.value(), clock, sink);
        this.loop = new ControlLoop(self.value());
        this.http = new HttpClient(group);
        this.peers = new PeerClient(group, self, clock);
        this.keyValue = new EtcdKeyValueStore(http, settings.keyValueAddress(), settings.platformTimeoutMillis());
        this.hostList = new HttpHostList(http, settings.hostListAddress(), settings.platformTimeoutMillis());
        this.membership = new Membership(self, MembershipSettings.DEFAULT, new Random(seed));
        this.configuration = new ConfigurationDriver(this);
        this.membershipDriver = new MembershipDriver(this);
        this.segments = new SegmentClient(peers, () -> presentStores);
        this.stop = new PlannedStop(settings.stopGraceMillis(), settings.stopBoundMillis());
    }

    /** Starts listening to peers and reading the platform; the role's handler must be set before. */
    public void start() {
        peerServer = new PeerServer(
                group, settings.self().id(), settings.self().address(), clock, peers.traffic(), this::handle);
        timeline.event(EventKind.PROCESS_STARTED)
                .with("role", settings.self().role())
                .with("zone", settings.self().zone())
                .write();
        LOG.info(
                "started {} {} in {}",
                settings.self().role(),
                settings.self().id(),
                settings.self().zone());
        loop.execute(this::readHostList);
        loop.execute(configuration::start);
        loop.every(TICK_MILLIS, this::tick);
        loop.every(LOG_FLUSH_MILLIS, sink::flush);
        loop.every(settings.hostListPeriodMillis(), this::readHostList);
    }

    /** Sets what answers the messages of the process's role. */
    public void roleHandler(MessageHandler handler) {
        roleHandler = handler;
    }

    /** Calls back on the control thread after each change of the membership. */
    public void onMembershipChange(Runnable listener) {
        membershipListeners.add(listener);
    }

    /** Calls back on the control thread with each reading of the host list. */
    public void onHostList(HostListListener listener) {
        hostListListeners.add(listener);
    }

    /** Sets what heartbeats say of waiting work, and what takes in what others' say; before the start. */
    public void heartbeatWork(Supplier<Map<String, Long>> own, BiConsumer<HostId, Map<String, Long>> others) {
        membershipDriver.ownWork(own);
        membershipDriver.onWork(others);
    }

    /** Asks for the planned stop, whose time begins now; from any thread, any number of times. */
    public void askStop() {
        long askedNanos = loop.nowNanos();
        loop.execute(() -> {
            if (stop.phase() == PlannedStop.Phase.SERVING) {
                stop.ask(askedNanos);
                timeline.event(EventKind.PROCESS_STOPPING).write();
                membershipDriver.announceLeaving();
            }
        });
    }

    /**
     * Advances the planned stop; completes {@link #ended()} when it is over.
     *
     * @param inProgress how much has begun and not ended
     * @param reachable whether callers may still send something new
     */
    public void advanceStop(int inProgress, boolean reachable) {
        if (stop.phase() == PlannedStop.Phase.SERVING || stop.phase() == PlannedStop.Phase.ENDED) {
            return;
        }
        if (stop.advance(inProgress, reachable, loop.nowNanos()) == PlannedStop.Phase.ENDED) {
            timeline.event(EventKind.PROCESS_ENDED)
                    .with("inProgress", inProgress)
                    .write();
            ended.complete(null);
        }
    }

    /** Completes when the planned stop is over. */
    public CompletableFuture<Void> ended() {
        return ended;
    }

    /** The planned stop. */
    public PlannedStop stop() {
        return stop;
    }

    /** Sends a message to a host; completes on a traffic thread. */
    public CompletableFuture<PeerMessage> ask(Host host, PeerMessage message) {
        return peers.ask(host.address(), PeerLane.CONTROL, message, ASK_TIMEOUT_MILLIS);
    }

    /** Tells a host something without waiting for its reply. */
    public void tell(Host host, PeerMessage message) {
        ask(host, message).whenComplete((reply, failure) -> {
            if (failure != null) {
                LOG.debug("{} did not take {}", host.id(), message.getClass().getSimpleName());
            }
        });
    }

    /** The present hosts of a role, this one included where it has the role. */
    public List<Host> present(Role role) {
        List<Host> hosts = new ArrayList<>(membership.present(role));
        if (settings.self().role() == role) {
            boolean leaving = stop.phase() != PlannedStop.Phase.SERVING;
            hosts.add(leaving ? settings.self().asLeaving() : settings.self());
        }
        return hosts;
    }

    /** Whether a host is this one. */
    public boolean isSelf(Host host) {
        return host.id().equals(settings.self().id());
    }

    /** What this process writes into the keys that it claims; another process of the same host writes another value. */
    public byte[] claimValue() {
        return claimValue.clone();
    }

    /** The settings. */
    public HostSettings settings() {
        return settings;
    }

    /** The control loop; thread-safe. */
    public ControlLoop loop() {
        return loop;
    }

    /** The traffic threads; thread-safe. */
    public EventLoopGroup group() {
        return group;
    }

    /** The HTTP client; thread-safe. */
    public HttpClient http() {
        return http;
    }

    /** The peer client; thread-safe. */
    public PeerClient peers() {
        return peers;
    }

    /** The key-value service; thread-safe. */
    public EtcdKeyValueStore keyValue() {
        return keyValue;
    }

    /** The stores' segments; thread-safe. */
    public SegmentClient segments() {
        return segments;
    }

    /** The time line; thread-safe. */
    public Timeline timeline() {
        return timeline;
    }

    /** The view of the other hosts. */
    public Membership membership() {
        return membership;
    }

    /** The configuration in force. */
    public ConfigurationDriver configuration() {
        return configuration;
    }

    MembershipDriver membershipDriver() {
        return membershipDriver;
    }

    @Override
    public void close() {
        if (!closed.compareAndSet(false, true)) {
            return;
        }
        loop.close();
        if (peerServer != null) {
            peerServer.close();
        }
        peers.close();
        http.close();
        group.shutdownGracefully(0, GROUP_SHUTDOWN_MILLIS, TimeUnit.MILLISECONDS)
                .awaitUninterruptibly(2 * GROUP_SHUTDOWN_MILLIS);
        if (sink instanceof FileSink file) {
            Try.run(file::close)
                    .onFailure(failure -> LOG.warn("the time line could not be closed: {}", failure.toString()));
        }
        ended.complete(null);
    }

    private void tick() {
        membershipDriver.tick();
        noticeMembershipChange();
    }

    private void noticeMembershipChange() {
        if (membership.version() != seenMembershipVersion) {
            seenMembershipVersion = membership.version();
            presentStores = present(Role.STORE);
            membershipDriver.recordChanges();
            membershipListeners.forEach(Runnable::run);
        }
    }

    private void readHostList() {
        hostList.read()
                .whenComplete((listing, failure) -> loop.execute(() -> {
                    // Without an answer the hosts of the last one stay: the heartbeats tell who of them is alive.
                    if (failure == null) {
                        membership.candidates(listing.hosts(), loop.nowNanos());
                        noticeMembershipChange();
                        hostListListeners.forEach(listener -> listener.onHostList(listing));
                    }
                }));
    }

    private CompletionStage<PeerMessage> handle(HostId from, PeerMessage message) {
        CompletableFuture<PeerMessage> future = new CompletableFuture<>();
        loop.execute(() -> dispatch(from, message).whenComplete((reply, failure) -> {
            if (failure == null) {
                future.complete(reply);
            } else {
                future.completeExceptionally(failure);
            }
        }));
        return future;
    }

    private CompletableFuture<PeerMessage> dispatch(HostId from, PeerMessage message) {
        Optional<CompletableFuture<PeerMessage>> common =
                membershipDriver.handle(from, message).or(() -> configuration.handle(from, message));
        return common.orElseGet(() -> roleHandler.handle(from, message));
    }

    /** Follows the readings of the host list. */
    @FunctionalInterface
    public interface HostListListener {
        /** The list was read. */
        void onHostList(HostList.Listing listing);
    }
}
