package org.gooseberryhill.standin;

import io.netty.channel.EventLoopGroup;
import java.io.Closeable;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.external.HostList;
import org.gooseberryhill.host.Host;
import org.gooseberryhill.http.HttpBody;
import org.gooseberryhill.http.HttpCall;
import org.gooseberryhill.http.HttpLimits;
import org.gooseberryhill.http.HttpServer;
import org.gooseberryhill.link.Address;
import org.gooseberryhill.link.Json;

/**
 * Simulates the platform's host list, where changes become visible after a lag. Thread-safe.
 *
 * <p>Serves {@code GET /hosts}, {@code PUT /hosts} with a listing and {@code POST /leaving/{endpoint}}.
 */
public final class HostListStandin implements Closeable {
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "host-list");
        thread.setDaemon(true);
        return thread;
    });
    private final HttpServer server;
    private final CallMeter meter = new CallMeter();
    private volatile long lagMillis;
    private volatile HostList.Listing shown = new HostList.Listing(List.of(), Set.of());
    private HostList.Listing actual = shown;

    /** Starts listening, with an empty host list. */
    public HostListStandin(EventLoopGroup group, Address address, long lagMillis) {
        this.lagMillis = lagMillis;
        server = HttpServer.start(group, address, HttpLimits.DEFAULT, this::handle);
    }

    /** Replaces the host list, with no endpoint leaving; visible immediately. */
    public synchronized void start(List<Host> hosts) {
        actual = new HostList.Listing(hosts, Set.of());
        shown = actual;
    }

    /** Sets the lag after which changes become visible. */
    public void lag(long millis) {
        lagMillis = millis;
    }

    /** Marks an endpoint as leaving; visible after the lag. */
    public synchronized void leaving(String endpoint) {
        Set<String> names = new TreeSet<>(actual.leavingEndpoints());
        names.add(endpoint);
        change(new HostList.Listing(actual.hosts(), names));
    }

    /** Adds a host or replaces the one with the same id; visible after the lag. */
    public synchronized void add(Host host) {
        List<Host> hosts = new ArrayList<>(actual.hosts());
        hosts.removeIf(other -> other.id().equals(host.id()));
        hosts.add(host);
        change(new HostList.Listing(hosts, actual.leavingEndpoints()));
    }

    @Override
    public void close() {
        timer.shutdownNow();
        server.close();
    }

    private void change(HostList.Listing listing) {
        actual = listing;
        timer.schedule(() -> shown = listing, lagMillis, TimeUnit.MILLISECONDS);
    }

    private HttpBody handle(HttpCall call) {
        return StandinReplies.whole(call, body -> {
            meter.count(call.method());
            if (call.method().equals("GET")) {
                StandinReplies.json(call, 200, shown);
                return;
            }
            if (call.path().startsWith("/leaving/")) {
                leaving(call.path().substring("/leaving/".length()));
            } else {
                Json.read(body, HostList.Listing.class).forEach(listing -> start(listing.hosts()));
            }
            StandinReplies.json(call, 200, shown);
        });
    }
}
