package org.gooseberryhill.decision.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.host.Host;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.host.Role;

/**
 * One host's view of the other hosts, maintained by the SWIM protocol (Das, Gupta and Motivala, 2002).
 *
 * <p>The candidates come from the platform's host list, which lags; heartbeats alone decide which of them are alive. A
 * host that is no longer on the list is removed only once it is dead as well. Invariants: a host never considers itself
 * dead; a rumor overrides a state only by a greater incarnation or, within the same incarnation, by a later state. Not
 * thread-safe.
 */
public final class Membership {
    /** How many times a rumor is sent for each doubling of the number of hosts. */
    private static final int RUMOR_REPEATS_PER_DOUBLING = 3;

    /** The interval at which each suspect, a host that may be dead since it did not answer, is probed. */
    private static final long SUSPECT_PROBE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    private final HostId self;
    private final MembershipSettings settings;
    private final Random random;
    private final Map<HostId, Peer> peers = new TreeMap<>();
    private final Map<HostId, PendingRumor> queuedRumors = new LinkedHashMap<>();
    private final List<HostId> probeOrder = new ArrayList<>();
    private long incarnation;
    private long nextProbeNanos = Long.MIN_VALUE;
    private long version;

    /** Creates a view without other hosts. */
    public Membership(HostId self, MembershipSettings settings, Random random) {
        this.self = self;
        this.settings = settings;
        this.random = random;
    }

    /** Applies the platform's host list. New hosts count as alive until they fail to answer. */
    public void updateCandidates(Collection<Host> hosts, long nowNanos) {
        List<HostId> listed = new ArrayList<>();
        for (Host host : hosts) {
            listed.add(host.id());
            if (host.id().equals(self)) {
                continue;
            }
            Peer peer = peers.get(host.id());
            if (peer == null) {
                peers.put(host.id(), new Peer(host, nowNanos));
                version++;
            } else if (!peer.host.equals(host)) {
                peer.updateHost(host);
                version++;
            }
        }
        boolean removed =
                peers.values().removeIf(peer -> peer.state == HostState.DEAD && !listed.contains(peer.host.id()));
        if (removed) {
            version++;
        }
    }

    /**
     * Advances the protocol to the given time: probes one peer per period, turns peers that do not answer into suspects
     * and considers suspects dead that do not refute in time.
     */
    public void tick(long nowNanos, MembershipCommands commands) {
        peers.values().forEach(peer -> updateState(peer, nowNanos, commands));
        probeSuspects(nowNanos, commands);
        if (nowNanos < nextProbeNanos) {
            return;
        }
        nextProbeNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(settings.heartbeatPeriodMillis());
        nextToProbe().ifPresent(peer -> {
            peer.probeSentNanos = nowNanos;
            peer.probePending = true;
            peer.indirectlyProbed = false;
            commands.probe(peer.host, incarnation, rumorsFor(peer.host.id()));
        });
    }

    /**
     * Probes suspects repeatedly until their suspicion time has passed; a single answer clears the suspicion.
     *
     * <p>Without this, a live host could be declared dead: a few messages lost in a row make it a suspect, and the
     * rumor that would let it refute can be lost too. Every host that suspects a peer probes it. Suspects are few, so
     * the cost does not grow with the number of hosts.
     */
    private void probeSuspects(long nowNanos, MembershipCommands commands) {
        for (Peer peer : peers.values()) {
            boolean due = nowNanos - peer.lastSuspectProbeNanos >= SUSPECT_PROBE_INTERVAL_NANOS;
            if (peer.state == HostState.SUSPECT && due) {
                peer.lastSuspectProbeNanos = nowNanos;
                commands.probe(peer.host, incarnation, rumorsFor(peer.host.id()));
            }
        }
    }

    /** Records that a host is alive: it sent a heartbeat, replied to one, or was reached by another host. */
    public void recordContact(
            HostId from, long fromIncarnation, boolean leaving, List<Rumor> receivedRumors, long nowNanos) {
        Peer peer = peers.get(from);
        if (peer != null) {
            peer.probePending = false;
            if (peer.leaving != leaving) {
                peer.leaving = leaving;
                version++;
            }
            // Direct evidence outweighs rumors: the host is alive even if other hosts still report it dead.
            if (peer.state != HostState.ALIVE || fromIncarnation > peer.incarnation) {
                peer.incarnation = Math.max(peer.incarnation, fromIncarnation);
                changeState(peer, HostState.ALIVE, nowNanos);
            }
        }
        receivedRumors.forEach(rumor -> applyRumor(rumor, nowNanos));
    }

    /** Records that another host reached the target in an indirect probe for this host. */
    public void recordIndirectReply(HostId target, long nowNanos) {
        Peer peer = peers.get(target);
        if (peer != null) {
            recordContact(target, peer.incarnation, peer.leaving, List.of(), nowNanos);
        }
    }

    /**
     * Selects the rumors that the next message to a host carries: the least often sent first, each a bounded number of
     * times. A host that is suspected or considered dead is always told so, since only it can refute that, with a
     * greater incarnation.
     */
    public List<Rumor> rumorsFor(HostId target) {
        List<Rumor> chosen = takeQueuedRumors();
        Peer peer = peers.get(target);
        if (peer != null && peer.state != HostState.ALIVE) {
            chosen.add(new Rumor(target, peer.state, peer.incarnation));
        }
        return chosen;
    }

    /** Returns this host's incarnation. */
    public long incarnation() {
        return incarnation;
    }

    /** Returns a counter that grows with each change of the view. */
    public long version() {
        return version;
    }

    /** Returns the state of another host; empty if this view does not contain the host. */
    public Optional<HostState> stateOf(HostId host) {
        return Optional.ofNullable(peers.get(host)).map(peer -> peer.state);
    }

    /** Returns the other hosts of a role that are not dead. Suspects are included, since they may refute. */
    public List<Host> presentHosts(Role role) {
        return peers.values().stream()
                .filter(peer -> peer.state != HostState.DEAD && peer.host.role() == role)
                .map(Peer::currentHost)
                .toList();
    }

    /** Returns all other hosts that are not dead. */
    public List<Host> presentHosts() {
        return peers.values().stream()
                .filter(peer -> peer.state != HostState.DEAD)
                .map(Peer::currentHost)
                .toList();
    }

    /** Returns the states of all other hosts in this view. */
    public Map<HostId, HostState> states() {
        Map<HostId, HostState> states = new TreeMap<>();
        peers.forEach((id, peer) -> states.put(id, peer.state));
        return states;
    }

    /** Returns another host, dead or not; empty if this view does not contain it. */
    public Optional<Host> find(HostId host) {
        return Optional.ofNullable(peers.get(host)).map(Peer::currentHost);
    }

    private List<Rumor> takeQueuedRumors() {
        int maxSends = RUMOR_REPEATS_PER_DOUBLING * (Integer.SIZE - Integer.numberOfLeadingZeros(peers.size() + 1));
        List<Rumor> chosen = new ArrayList<>();
        List<PendingRumor> pendingRumors = new ArrayList<>(queuedRumors.values());
        pendingRumors.sort((one, other) -> Integer.compare(one.timesSent, other.timesSent));
        for (PendingRumor pending : pendingRumors) {
            if (chosen.size() == settings.rumorsPerMessage()) {
                break;
            }
            chosen.add(pending.rumor);
            pending.timesSent++;
            if (pending.timesSent >= maxSends) {
                queuedRumors.remove(pending.rumor.host());
            }
        }
        return chosen;
    }

    private void updateState(Peer peer, long nowNanos, MembershipCommands commands) {
        long sinceProbeNanos = nowNanos - peer.probeSentNanos;
        long timeoutNanos = TimeUnit.MILLISECONDS.toNanos(settings.replyTimeoutMillis());
        if (peer.probePending && !peer.indirectlyProbed && sinceProbeNanos > timeoutNanos) {
            // Indirect probes keep a lost message or a broken link between two hosts from looking like a lost host.
            peer.indirectlyProbed = true;
            chooseIndirectProbers(peer).forEach(helper -> commands.probeIndirectly(helper, peer.host));
        }
        if (peer.probePending && peer.state == HostState.ALIVE && sinceProbeNanos > 2 * timeoutNanos) {
            changeState(peer, HostState.SUSPECT, nowNanos);
        }
        long suspicionNanos = TimeUnit.MILLISECONDS.toNanos(settings.suspicionMillis());
        if (peer.state == HostState.SUSPECT && nowNanos - peer.stateSinceNanos > suspicionNanos) {
            changeState(peer, HostState.DEAD, nowNanos);
        }
    }

    private void applyRumor(Rumor rumor, long nowNanos) {
        if (rumor.host().equals(self)) {
            if (rumor.state() != HostState.ALIVE && rumor.incarnation() >= incarnation) {
                incarnation = rumor.incarnation() + 1;
                queueRumor(new Rumor(self, HostState.ALIVE, incarnation));
            }
            return;
        }
        Peer peer = peers.get(rumor.host());
        if (peer == null) {
            return;
        }
        boolean newer = rumor.incarnation() > peer.incarnation;
        boolean overrides =
                rumor.incarnation() == peer.incarnation && rumor.state().compareTo(peer.state) > 0;
        if (newer || overrides) {
            peer.incarnation = rumor.incarnation();
            changeState(peer, rumor.state(), nowNanos);
        }
    }

    private void changeState(Peer peer, HostState state, long nowNanos) {
        if (peer.state != state) {
            version++;
        }
        peer.state = state;
        peer.stateSinceNanos = nowNanos;
        queueRumor(new Rumor(peer.host.id(), state, peer.incarnation));
    }

    private void queueRumor(Rumor rumor) {
        queuedRumors.put(rumor.host(), new PendingRumor(rumor));
    }

    private List<Host> chooseIndirectProbers(Peer target) {
        List<Host> others = new ArrayList<>(presentHosts());
        others.removeIf(host -> host.id().equals(target.host.id()));
        Collections.shuffle(others, random);
        return others.subList(0, Math.min(settings.indirectProbes(), others.size()));
    }

    private Optional<Peer> nextToProbe() {
        if (peers.isEmpty()) {
            return Optional.empty();
        }
        // Round robin over a shuffled list probes each peer once per round, which purely random choice would not.
        // Dead peers stay in it, since a host that comes back may be listed under its old id.
        if (probeOrder.isEmpty()) {
            probeOrder.addAll(peers.keySet());
            Collections.shuffle(probeOrder, random);
        }
        return Optional.ofNullable(peers.get(probeOrder.remove(probeOrder.size() - 1)));
    }

    /** The state of one other host in this view. */
    private static final class Peer {
        private Host host;
        private HostState state = HostState.ALIVE;
        private long incarnation;
        private long stateSinceNanos;
        private long probeSentNanos;
        private long lastSuspectProbeNanos;
        private boolean probePending;
        private boolean indirectlyProbed;
        private boolean leaving;

        Peer(Host host, long nowNanos) {
            this.host = host;
            this.stateSinceNanos = nowNanos;
        }

        void updateHost(Host newHost) {
            boolean addressChanged = !newHost.address().equals(host.address());
            host = newHost;
            if (addressChanged) {
                state = HostState.ALIVE;
                probePending = false;
                leaving = false;
            }
        }

        Host currentHost() {
            return leaving ? host.asLeaving() : host;
        }
    }

    /** A rumor and the number of times it was sent. */
    private static final class PendingRumor {
        private final Rumor rumor;
        private int timesSent;

        PendingRumor(Rumor rumor) {
            this.rumor = rumor;
        }
    }
}
