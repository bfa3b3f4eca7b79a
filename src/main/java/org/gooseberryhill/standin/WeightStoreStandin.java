package org.gooseberryhill.standin;

import io.netty.channel.EventLoopGroup;
import java.io.Closeable;
import java.util.ArrayDeque;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.http.HttpCall;
import org.gooseberryhill.http.HttpLimits;
import org.gooseberryhill.http.HttpServer;
import org.gooseberryhill.link.Address;

/** Simulates the weight store: {@code GET /weights/{model}/{version}}, rate-limited. Thread-safe. */
public final class WeightStoreStandin implements Closeable {
    private final HttpServer server;
    private final int maxPerMinute;
    private final ArrayDeque<Long> recentReadNanos = new ArrayDeque<>();

    /** Starts listening; reads above the limit per minute are refused with status 429. */
    public WeightStoreStandin(EventLoopGroup group, Address address, int maxPerMinute) {
        this.maxPerMinute = maxPerMinute;
        server = HttpServer.start(
                group, address, HttpLimits.DEFAULT, call -> StandinHttp.collectBody(call, body -> serve(call)));
    }

    @Override
    public void close() {
        server.close();
    }

    private synchronized void serve(HttpCall call) {
        long nowNanos = System.nanoTime();
        long minuteNanos = TimeUnit.MINUTES.toNanos(1);
        while (!recentReadNanos.isEmpty() && nowNanos - recentReadNanos.peekFirst() > minuteNanos) {
            recentReadNanos.pollFirst();
        }
        if (recentReadNanos.size() >= maxPerMinute) {
            call.reply(429, Map.of("retry-after", "5"), new byte[0]);
            return;
        }
        recentReadNanos.addLast(nowNanos);
        StandinHttp.replyJson(call, 200, Map.of("weights", call.path()));
    }
}
