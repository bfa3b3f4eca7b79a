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
import org.gooseberryhill.http.HttpCall;
import org.gooseberryhill.http.HttpLimits;
import org.gooseberryhill.http.HttpServer;
import org.gooseberryhill.http.RequestBodyHandler;
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
    private volatile long lagMillis;
    private volatile HostList.Listing visibleListing = new HostList.Listing(List.of(), Set.of());
    private HostList.Listing latestListing = visibleListing;

    /** Starts listening, with an empty host list. */
    public HostListStandin(EventLoopGroup group, Address address, long lagMillis) {
        this.lagMillis = lagMillis;
        server = HttpServer.start(group, address, HttpLimits.DEFAULT, this::handle);
    }

    /** Replaces the hosts and clears the leaving endpoints; visible immediately. */
    public synchronized void setHosts(List<Host> hosts) {
        latestListing = new HostList.Listing(hosts, Set.of());
        visibleListing = latestListing;
    }

    /** Sets the lag after which changes become visible. */
    public void setLagMillis(long millis) {
        lagMillis = millis;
    }

    /** Marks an endpoint as leaving; visible after the lag. */
    public synchronized void addLeavingEndpoint(String endpoint) {
        Set<String> names = new TreeSet<>(latestListing.leavingEndpoints());
        names.add(endpoint);
        publishAfterLag(new HostList.Listing(latestListing.hosts(), names));
    }

    /** Adds a host or replaces the one with the same id; visible after the lag. */
    public synchronized void add(Host host) {
        List<Host> hosts = new ArrayList<>(latestListing.hosts());
        hosts.removeIf(other -> other.id().equals(host.id()));
        hosts.add(host);
        publishAfterLag(new HostList.Listing(hosts, latestListing.leavingEndpoints()));
    }

    @Override
    public void close() {
        timer.shutdownNow();
        server.close();
    }

    private void publishAfterLag(HostList.Listing listing) {
        latestListing = listing;
        timer.schedule(() -> visibleListing = listing, lagMillis, TimeUnit.MILLISECONDS);
    }

    private RequestBodyHandler handle(HttpCall call) {
        return StandinHttp.collectBody(call, body -> {
            if (call.method().equals("GET")) {
                StandinHttp.replyJson(call, 200, visibleListing);
                return;
            }
            if (call.path().startsWith("/leaving/")) {
                addLeavingEndpoint(call.path().substring("/leaving/".length()));
            } else {
                Json.read(body, HostList.Listing.class).forEach(listing -> setHosts(listing.hosts()));
            }
            StandinHttp.replyJson(call, 200, visibleListing);
        });
    }
}
